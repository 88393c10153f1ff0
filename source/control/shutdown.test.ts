import {describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {type Replica} from '../consensus/index.js';
import {type Log} from '../telemetry/index.js';
import {type Driver} from './driver.js';
import {type AvailabilityMessage, type ClusterStatus, type ReplicaStatus} from './message.js';
import {createShutdown, type Shutdown} from './shutdown.js';

const hosts = ['a', 'b', 'c'];
const electionMilliseconds = 250;

const log: Log = {
	info() {
		// Not looked at.
	},
	warn() {
		// Not looked at.
	},
	error() {
		// Not looked at.
	},
};

function createFollower(): Driver {
	const replica: Partial<Replica> = {getMembership: () => ({voters: hosts, learners: []}), getRole: () => 'follower'};
	const driver: Partial<Driver> = {replica: replica as Replica};
	return driver as Driver;
}

/** Gets a status in which every host responds, as the leader reports it until hosts are gone. */
async function readStatus(): Promise<ClusterStatus> {
	const replicas = hosts.map((replica): ReplicaStatus => ({
		replica, role: 'voter', matchIndex: 0, silentMilliseconds: 10,
	}));
	const status: Partial<ClusterStatus> = {commitIndex: 0, replicas};
	return status as ClusterStatus;
}

/** Creates hosts whose messages to each other take a time. Those of earlier releases send no answers. */
function createHosts(linkMilliseconds: number, earlier: readonly string[]): ReadonlyMap<string, Shutdown> {
	const shutdowns = new Map<string, Shutdown>();
	async function deliver(to: string, message: AvailabilityMessage): Promise<void> {
		await delay(linkMilliseconds);
		shutdowns.get(to)!.recordAvailability(message);
	}

	for (const self of hosts) {
		shutdowns.set(self, createShutdown({
			self, driver: createFollower(), log, electionMilliseconds, patienceMilliseconds: 4000, readStatus,
			broadcast(message) {
				for (const other of hosts.filter(host => host !== self)) {
					void deliver(other, message);
				}
			},
			sendTo(other, message) {
				if (!earlier.includes(self)) {
					void deliver(other, message);
				}
			},
		}));
	}

	return shutdowns;
}

describe('createShutdown', () => {
	type Case = {
		readonly told: readonly string[];
		readonly linkMilliseconds: number;
		readonly earlier?: readonly string[];
		readonly afterMilliseconds: number;
	};

	/** Checks which hosts have stopped a while after some of them were told to. */
	async function doTest(options: Case, expected: readonly string[]): Promise<void> {
		const stopped: string[] = [];
		const shutdowns = createHosts(options.linkMilliseconds, options.earlier ?? []);
		const stops = options.told.map(async host => {
			await shutdowns.get(host)!.prepare();
			stopped.push(host);
		});
		await delay(options.afterMilliseconds);
		expect([...stopped]).toEqual([...expected]);
		await Promise.all(stops);
	}

	// Guards against hosts that stop at the same time because each one's announcement reaches the others late, for example beside load.
	test('lets one host stop when all are told to, however late their announcements arrive', async () => {
		await doTest({told: hosts, linkMilliseconds: 250, afterMilliseconds: 1500}, ['a']);
	});
	test('lets a host stop as soon as the others have answered', async () => {
		await doTest({told: ['b'], linkMilliseconds: 10, afterMilliseconds: 600}, ['b']);
	});
	test('lets a host stop beside hosts of earlier releases, which do not answer', async () => {
		await doTest({
			told: ['b'], linkMilliseconds: 10, earlier: ['a', 'c'], afterMilliseconds: 3000,
		}, ['b']);
	});
});
