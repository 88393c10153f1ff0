import {randomUUID} from 'node:crypto';
import {
	after, before, describe, test,
} from 'node:test';
import {expect} from 'earl';
import {waitUntil} from '../../stand-in/wait.js';
import {startLocalSystem, type LocalSystem} from './local-system.js';

const waitLimitMilliseconds = 5000;

/** Number of requests at a time, more than the servers of one zone take. */
const concurrency = 16;

// Guards against a connection or a link whose bytes no metric shows, or under another kind or zone.
describe('metrics of bytes', () => {
	let system: LocalSystem;

	before(async () => {
		system = await startLocalSystem(0);
	});
	after(async () => {
		await system.stop();
	});

	async function readBytes(port: number): Promise<Readonly<Record<string, number>>> {
		const response = await fetch(`http://127.0.0.1:${port}/metrics`);
		const text = await response.text();
		const lines = text.matchAll(/^guavadeck_traffic_bytes_total\{kind="(?<kind>\w+)",zone="(?<zone>\w+)",direction="(?<direction>\w+)"\} (?<bytes>\d+)$/gmv);
		return Object.fromEntries([...lines].map(({groups}) => [`${groups!.kind} ${groups!.direction} ${groups!.zone}`, Number(groups!.bytes)]));
	}

	async function order(): Promise<void> {
		const response = await fetch(`http://127.0.0.1:${system.callersPort}/orders`, {method: 'POST', body: 'one', headers: {'idempotency-key': randomUUID()}});
		await response.text();
	}

	async function doTest(port: number, expected: readonly string[]): Promise<void> {
		let counted: Readonly<Record<string, number>> = {};
		await waitUntil(`there are ${expected.join(', ')}`, waitLimitMilliseconds, async () => {
			await Promise.all(Array.from({length: concurrency}, order));
			counted = await readBytes(port);
			return expected.every(name => (counted[name] ?? 0) > 0);
		});
		// The control host is in the zone of the entry, servers are in two zones.
		expect(Object.keys(counted).filter(name => !expected.includes(name))).toEqual([]);
	}

	test('of an entry have those of its servers by zone, and those of the control host', async () => doTest(system.adminPort, [
		...['request sent', 'response received', 'other sent', 'other received'].flatMap(name => [`${name} own`, `${name} other`]),
		...['lease sent', 'lease received', 'claim sent', 'claim received'].map(name => `${name} own`),
	]));
	test('of a control host have those of its entry', async () => doTest(system.apiPort, [
		...['other sent', 'other received', 'lease sent', 'lease received', 'claim sent', 'claim received'].map(name => `${name} own`),
	]));
});
