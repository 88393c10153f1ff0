import {describe, test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {getStoredCopy} from '../../stand-in/stored-copy.js';
import {announcementSchema} from './announcement.js';
import {createRegistry, type Registry, type RegistryCommand} from './registry.js';

const ports = [8001, 8002, 8003];
const names = ['one', 'two', 'three', 'four'];

/** Actual state of a boot of a server. */
type Boot = {readonly name: string; readonly port: number; readonly bornAt: number; sequence: number; isLeaving: boolean};

/** A message of a boot, with the registry command that results from it. */
type Message = {readonly boot: Boot; readonly kind: 'announced' | 'leaving' | 'left'; readonly command: RegistryCommand};

function createAnnouncement(boot: Boot, isLeaving: boolean, coldMilliseconds: number): RegistryCommand {
	boot.sequence++;
	return {
		kind: 'announced', at: 0, announcement: announcementSchema.parse({
			service: 'stock', name: boot.name, host: '127.0.0.1', port: boot.port, zone: 'north', slots: 4, connections: 100, boot: String(boot.bornAt), state: isLeaving ? 'leaving' : 'warm', bornAt: boot.bornAt, sequence: boot.sequence, coldMilliseconds,
		}),
	};
}

/** Simulates servers that start, drain, leave and crash, and a network that delays, duplicates and loses their messages. */
function createSimulation() {
	const messages: Message[] = [];
	const boots = new Map<number, Boot>();
	const drained = new Set<Boot>();
	const left = new Set<Boot>();
	let registry: Registry = createRegistry();
	let time = 1;

	/** Starts a server at an address in place of the previous one there, unless a server with that name exists. */
	function start(port: number, name: string): void {
		if ([...boots.values()].every(boot => boot.name !== name)) {
			boots.set(port, {
				name, port, bornAt: time++, sequence: 0, isLeaving: false,
			});
		}
	}

	function send(boot: Boot, kind: Message['kind'], coldMilliseconds: number): void {
		boot.isLeaving ||= kind === 'leaving';
		const command: RegistryCommand = kind === 'left'
			? {
				kind: 'left', name: boot.name, bornAt: boot.bornAt, at: 0,
			}
			: createAnnouncement(boot, boot.isLeaving, coldMilliseconds);
		messages.push({boot, kind: kind === 'announced' && boot.isLeaving ? 'leaving' : kind, command});
	}

	/** Delivers a message, which may have been delivered before. */
	function deliver({boot, kind, command}: Message): void {
		registry.apply(command);
		if (kind === 'leaving' && [...registry.getAll()].some(server => server.announcement.boot === String(boot.bornAt))) {
			drained.add(boot);
		}

		if (kind === 'left') {
			left.add(boot);
		}
	}

	/** Takes a snapshot and continues with a registry restored from it. */
	function restoreFromSnapshot(): void {
		const snapshot = getStoredCopy(registry.takeSnapshot());
		registry = createRegistry();
		registry.restore(snapshot);
		expect(getStoredCopy(registry.takeSnapshot())).toEqual(snapshot);
	}

	function checkInvariants(): void {
		const servers = [...registry.getAll()];
		const addresses = servers.map(server => server.announcement.port);
		expect(new Set(addresses).size).toEqual(addresses.length);
		for (const server of servers) {
			const {boot, bornAt = 0, name} = server.announcement;
			const isDrained = [...drained].some(other => String(other.bornAt) === boot);
			expect(isDrained && server.state !== 'leaving').toEqual(false);
			expect([...left].some(other => other.name === name && other.bornAt >= bornAt)).toEqual(false);
			expect(registry.getById(server.id).isJust).toEqual(true);
		}
	}

	return {
		step(kind: number, choice: number) {
			const boot = boots.get(ports[choice % ports.length]!);
			if (kind < 15) {
				start(ports[choice % ports.length]!, names[Math.floor(choice / 7) % names.length]!);
			} else if (kind < 50 && boot !== undefined) {
				send(boot, 'announced', choice % 4 === 0 ? 900 : 0);
			} else if (kind < 57 && boot !== undefined) {
				send(boot, 'leaving', 0);
			} else if (kind < 62 && boot !== undefined) {
				send(boot, 'left', 0);
				boots.delete(boot.port);
			} else if (kind < 65 && boot !== undefined) {
				boots.delete(boot.port);
			} else if (kind < 69) {
				restoreFromSnapshot();
			} else if (messages.length > 0) {
				deliver(messages[choice % messages.length]!);
			}

			checkInvariants();
		},
		getDrainedCount: () => drained.size,
		getLeftCount: () => left.size,
	};
}

describe('createRegistry', () => {
	function doTest(runCount: number, seed: number): void {
		let drainedCount = 0;
		let leftCount = 0;
		fc.assert(fc.property(fc.array(fc.tuple(fc.nat(99), fc.nat(1000)), {minLength: 50, maxLength: 400, size: 'max'}), steps => {
			const simulation = createSimulation();
			for (const [kind, number] of steps) {
				simulation.step(kind, number);
			}

			drainedCount += simulation.getDrainedCount();
			leftCount += simulation.getLeftCount();
		}), {seed, numRuns: runCount, endOnFailure: true});
		expect(drainedCount > 10 && leftCount > 10).toEqual(true);
	}

	test('never restores a drained or departed server, and keeps one server per address, when messages are late or duplicated', () => {
		doTest(200, 71);
	});
});
