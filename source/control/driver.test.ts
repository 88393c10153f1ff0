import {mkdtempSync, readdirSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {type ReplicaMessage} from '../consensus/index.js';
import {createRandom} from '../randomness/index.js';
import {openStore} from '../storage/index.js';
import {startDriver, type Driver} from './driver.js';
import {createStateMachine, stateMachineCodec} from './state-machine.js';

/** Time after which a request counts as not answered. */
const patienceMilliseconds = 500;

const limits = {
	retentionMilliseconds: 1_000_000, maximumClaims: 10_000, maximumAnswerBytes: 100_000_000, maximumStoredBytes: 100_000_000,
};

async function lead(driver: Driver): Promise<void> {
	await new Promise<void>(resolve => {
		const subscription = driver.leadershipStarts.subscribe(() => {
			subscription.unsubscribe();
			resolve();
		});
	});
}

// Guards against calls that are never answered because the host that received them stops.
describe('startDriver: requests to confirm the leadership', () => {
	/** Stops a leader whose other voter elects it, and does not respond to it afterwards. */
	async function doTest(request: (driver: Driver) => Promise<() => Promise<boolean>>): Promise<void> {
		const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-driver-'));
		const driver: Driver = startDriver({
			id: 'a', founders: {voters: ['a', 'b'], learners: []}, store: await openStore(folder, stateMachineCodec), machine: createStateMachine(limits), electionMilliseconds: 20, heartbeatMilliseconds: 10,
			snapshotEvery: 10, snapshotBytes: 10_000, random: createRandom(1),
			send(_, message) {
				if (message.kind === 'voteRequest') {
					const {term, isPreVote} = message;
					setImmediate(() => {
						driver.receive('b', {
							kind: 'vote', term, isPreVote, isGranted: true,
						});
					});
				}
			},
			onFailure(error) {
				throw error;
			},
		});
		await new Promise<void>(resolve => {
			const subscription = driver.roleChanges.subscribe(({role}) => {
				if (role === 'leader') {
					subscription.unsubscribe();
					resolve();
				}
			});
		});
		const getConfirmation = await request(driver);
		const outcome = await Promise.race([getConfirmation(), delay(patienceMilliseconds, 'none')]);
		rmSync(folder, {recursive: true});
		expect(outcome).toEqual(false);
	}

	test('are refused when the host stops', async () => doTest(async driver => {
		const confirmation = driver.confirm(false);
		await driver.stop();
		return async () => confirmation;
	}));
	test('are refused after it has stopped', async () => doTest(async driver => {
		await driver.stop();
		return async () => driver.confirm(true);
	}));
});

describe('startDriver: snapshots', () => {
	/** Claims and finishes keys with responses of 10 kB each on a single voter, then restores its state from the stored log. */
	async function doTest(options: {readonly snapshotEvery: number; readonly snapshotBytes: number}, expected: {readonly hasSnapshot: boolean}): Promise<void> {
		const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-driver-'));
		const store = await openStore(folder, stateMachineCodec);
		const machine = createStateMachine(limits);
		const driver = startDriver({
			id: 'a', founders: {voters: ['a'], learners: []}, store, machine, electionMilliseconds: 20, heartbeatMilliseconds: 10, random: createRandom(1), ...options,
			send() {
				// A single voter sends nothing.
			},
			onFailure(error) {
				throw error;
			},
		});
		await lead(driver);
		for (let number = 0; number < 60; number++) {
			const common = {
				shard: 0, key: `key-${number}`, attempt: `attempt-${number}`, at: 0,
			};
			await driver.propose({area: 'ledger', command: {kind: 'claim', ...common, digest: 'd'}});
			await driver.propose({area: 'ledger', command: {kind: 'finish', ...common, answer: {status: 200, headers: [], body: new Uint8Array(10_000)}}});
		}

		await driver.stop();
		expect(readdirSync(folder).some(file => file.startsWith('snapshot-'))).toEqual(expected.hasSnapshot);
		const reopened = await openStore(folder, stateMachineCodec);
		const restored = createStateMachine(limits);
		if (reopened.storedState.snapshot !== undefined) {
			restored.restore(reopened.storedState.snapshot.data as ReturnType<typeof restored.takeSnapshot>);
		}

		for (const entry of reopened.storedState.entries) {
			if (entry.payload.kind === 'command') {
				restored.apply(entry.payload.command as Parameters<typeof restored.apply>[0]);
			}
		}

		expect([restored.ledger.getClaimCount(), restored.ledger.getStoredBytes()]).toEqual([60, 600_000]);
		await reopened.close();
		rmSync(folder, {recursive: true});
	}

	test('are taken after enough bytes, even of few entries', async () => doTest({snapshotEvery: 10_000, snapshotBytes: 100_000}, {hasSnapshot: true}));
	test('are taken after enough entries', async () => doTest({snapshotEvery: 20, snapshotBytes: 100_000_000}, {hasSnapshot: true}));
	test('are not taken below both limits', async () => doTest({snapshotEvery: 10_000, snapshotBytes: 100_000_000}, {hasSnapshot: false}));
});

// Guards against a host that goes on with a state machine that applied a command half.
describe('startDriver: an error half way through an event', () => {
	test('ends the driver, and nothing of the event is stored', async () => {
		const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-driver-'));
		const store = await openStore(folder, stateMachineCodec);
		const machine = createStateMachine(limits);
		const failures: string[] = [];
		const driver = startDriver({
			id: 'b', founders: {voters: ['a', 'b'], learners: []}, store,
			machine, electionMilliseconds: 10_000, heartbeatMilliseconds: 1000, random: createRandom(1), snapshotEvery: 1000, snapshotBytes: 1_000_000,
			send() {
				// Nothing is sent before the entry is stored.
			},
			onFailure(error) {
				failures.push(error.message);
			},
		});
		const append = {
			kind: 'append', term: 1, previousIndex: 0, previousTerm: 0, commitIndex: 1, round: 1,
			entries: [{index: 1, term: 1, payload: {kind: 'command', command: {area: 'ledger', command: undefined}}}],
		} as unknown as ReplicaMessage;
		driver.receive('a', append);
		driver.receive('a', append);
		expect(failures.length).toEqual(1);
		await driver.stop();
		const reopened = await openStore(folder, stateMachineCodec);
		expect(reopened.storedState.entries).toEqual([]);
		await reopened.close();
		rmSync(folder, {recursive: true});
	});
});
