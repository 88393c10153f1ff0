import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import {describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {createLimitedFiles, type LimitedFiles} from '../../stand-in/limited-files.js';
import {createRandom} from '../randomness/index.js';
import {openStore} from '../storage/index.js';
import {startDriver, type Driver} from './driver.js';
import {createStateMachine, stateMachineCodec, type StateMachine} from './state-machine.js';

const limits = {
	retentionMilliseconds: 1_000_000, maximumClaims: 10_000, maximumAnswerBytes: 100_000_000, maximumStoredBytes: 100_000_000,
};
const ids = ['a', 'b', 'c'];

/** Time within which a host with a full disk must not lead any more. */
const stepDownLimitMilliseconds = 1000;

type Host = {readonly id: string; readonly driver: Driver; readonly machine: StateMachine; readonly disk: LimitedFiles};

type Cluster = {
	readonly hosts: readonly Host[];
	readonly failures: readonly Error[];
	getLeader(): Host | undefined;
	/** Waits until a host leads that satisfies a condition, and returns it. */
	waitForLeader(isWanted?: (host: Host) => boolean): Promise<Host>;
	/** Proposes the claim of a key at the leader until it is applied. */
	claim(key: string): Promise<void>;
	stop(): Promise<void>;
};

async function startCluster(): Promise<Cluster> {
	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-full-'));
	const failures: Error[] = [];
	const byId = new Map<string, Host>();
	for (const [index, id] of ids.entries()) {
		const disk = createLimitedFiles();
		const machine = createStateMachine(limits);
		const driver = startDriver({
			id, founders: {voters: ids, learners: []}, store: await openStore(path.join(folder, id), stateMachineCodec, disk.files), machine,
			electionMilliseconds: 150, heartbeatMilliseconds: 30, random: createRandom(index + 1), snapshotEvery: 10_000, snapshotBytes: 100_000_000,
			send(to, message) {
				setImmediate(() => byId.get(to)?.driver.receive(id, message));
			},
			onFailure(error) {
				failures.push(error);
			},
		});
		byId.set(id, {
			id, driver, machine, disk,
		});
	}

	const hosts = [...byId.values()];
	const getLeader = (): Host | undefined => hosts.find(({driver}) => driver.replica.getRole() === 'leader');

	async function waitForLeader(isWanted: (host: Host) => boolean = () => true): Promise<Host> {
		for (;;) {
			const leader = getLeader();
			if (leader !== undefined && isWanted(leader)) {
				return leader;
			}

			await delay(5);
		}
	}

	return {
		hosts,
		failures,
		getLeader,
		waitForLeader,
		async claim(key) {
			for (;;) {
				const leader = await waitForLeader();
				const outcome = await leader.driver.propose({
					area: 'ledger', command: {
						kind: 'claim', shard: 0, key, attempt: key, at: 0, digest: 'd',
					},
				});
				if (outcome.kind === 'applied') {
					return;
				}

				await delay(5);
			}
		},
		async stop() {
			await Promise.all(hosts.map(async ({driver}) => driver.stop()));
			rmSync(folder, {recursive: true});
		},
	};
}

async function waitUntil(isSatisfied: () => boolean): Promise<void> {
	while (!isSatisfied()) {
		await delay(10);
	}
}

describe('control hosts with full disks', () => {
	async function doTest(run: (cluster: Cluster) => Promise<void>): Promise<void> {
		const cluster = await startCluster();
		await cluster.claim('first');
		await run(cluster);
		expect(cluster.failures).toEqual([]);
		await waitUntil(() => cluster.hosts.every(({machine}) => machine.ledger.getClaimCount() === cluster.hosts[0]!.machine.ledger.getClaimCount()));
		await cluster.stop();
	}

	test('change their leader within a second if it is the leader, and go on', {timeout: 20_000}, async () => doTest(async cluster => {
		const leader = await cluster.waitForLeader();
		leader.disk.setFull(true);
		const startedAt = performance.now();
		void leader.driver.propose({
			area: 'ledger', command: {
				kind: 'claim', shard: 0, key: 'trigger', attempt: 'trigger', at: 0, digest: 'd',
			},
		});
		await cluster.waitForLeader(host => host !== leader);
		expect(performance.now() - startedAt < stepDownLimitMilliseconds).toEqual(true);
		await cluster.claim('second');
		leader.disk.setFull(false);
	}));
	test('keep their leader if it is another host, which catches up by itself', {timeout: 20_000}, async () => doTest(async cluster => {
		const leader = await cluster.waitForLeader();
		const other = cluster.hosts.find(host => host !== leader)!;
		other.disk.setFull(true);
		const term = leader.driver.replica.getTerm();
		for (let index = 0; index < 20; index++) {
			await cluster.claim(`key-${index}`);
		}

		await delay(500);
		expect([cluster.getLeader()?.id, leader.driver.replica.getTerm()]).toEqual([leader.id, term]);
		other.disk.setFull(false);
		await waitUntil(() => other.driver.replica.getMatchIndex(other.id) === leader.driver.replica.getLog().getLastIndex());
	}));
	test('acknowledge nothing without a durable quorum, and go on when the disks have space', {timeout: 20_000}, async () => doTest(async cluster => {
		const leader = await cluster.waitForLeader();
		const full = cluster.hosts.filter(host => host !== leader);
		for (const {disk} of full) {
			disk.setFull(true);
		}

		let isAcknowledged = false;
		const claimed = cluster.claim('late').then(() => {
			isAcknowledged = true;
		});
		await delay(800);
		expect(isAcknowledged).toEqual(false);
		for (const {disk} of full) {
			disk.setFull(false);
		}

		await claimed;
	}));
});
