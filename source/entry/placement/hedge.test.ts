/**
 * Guards against unneeded hedges: when the event loop is blocked past the hedge delay, the hedge timer
 * expires before a response that has already arrived is read.
 */
import {performance} from 'node:perf_hooks';
import {setImmediate} from 'node:timers/promises';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {startLocalSystem} from '../../program/local-system.js';

/** Requests that add 0.05 each to the hedge budget. */
const budgetRequests = 100;
const hedgeableRequests = 5;
const eventLoopTurnsUntilServed = 40;
const blockedMilliseconds = 200;

function blockEventLoop(milliseconds: number): void {
	const until = performance.now() + milliseconds;
	while (performance.now() < until) {
		// Blocks the event loop, as other work of the process would.
	}
}

async function fetchResponse(url: string): Promise<void> {
	const response = await fetch(url);
	await response.arrayBuffer();
}

async function getHedgeCount(adminPort: number): Promise<number> {
	const response = await fetch(`http://127.0.0.1:${adminPort}/metrics`);
	const text = await response.text();
	const line = text.split('\n').find(metric => metric.startsWith('guavadeck_attempts_total') && metric.includes('hedge'));
	return Number(line?.split(' ').at(-1) ?? 0);
}

describe('hedges of an entry', () => {
	async function doTest(expected: number): Promise<void> {
		const localSystem = await startLocalSystem(0);
		const url = `http://127.0.0.1:${localSystem.callersPort}/catalogue`;
		for (let request = 0; request < budgetRequests; request++) {
			await fetchResponse(url);
		}

		const before = await getHedgeCount(localSystem.adminPort);
		for (let request = 0; request < hedgeableRequests; request++) {
			const response = fetchResponse(url);
			while (localSystem.getInFlight() === 0) {
				await setImmediate();
			}

			for (let turn = 0; turn < eventLoopTurnsUntilServed; turn++) {
				await setImmediate();
			}

			blockEventLoop(blockedMilliseconds);
			await response;
		}

		const after = await getHedgeCount(localSystem.adminPort);
		await localSystem.stop();
		expect(after - before).toEqual(expected);
	}

	test('are not sent when a response has arrived but was not read yet', {timeout: 20_000}, async () => doTest(0));
});
