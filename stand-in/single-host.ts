/** The only control host of a system, with its storage in a temporary folder, for tests. */
import {rmSync, mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {startDriver, type Driver} from '../source/control/driver.js';
import {createLeaderRequestHandler, type LeaderRequestHandler} from '../source/control/leader-request-handler.js';
import {createLeadership, type Leadership} from '../source/control/leadership.js';
import {createStateMachine, stateMachineCodec, type StateMachine} from '../source/control/state-machine.js';
import {createRandom} from '../source/randomness/index.js';
import {openStore} from '../source/storage/index.js';

/** A host that leads. */
export type SingleHost = {readonly handler: LeaderRequestHandler; readonly machine: StateMachine; readonly driver: Driver};

/**
 * Runs a test with the only host of a system once it leads.
 * @param run - Test.
 */
export async function withSingleHost(run: (host: SingleHost) => Promise<void>): Promise<void> {
	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-host-'));
	const machine = createStateMachine({
		retentionMilliseconds: 1000, maximumClaims: 10, maximumAnswerBytes: 1000, maximumStoredBytes: 1000,
	});
	let leadership: Leadership | undefined;
	const driver = startDriver({
		id: 'a',
		founders: {voters: ['a'], learners: []},
		store: await openStore(folder, stateMachineCodec),
		machine,
		electionMilliseconds: 30,
		heartbeatMilliseconds: 10,
		snapshotEvery: 1000,
		snapshotBytes: 1_000_000,
		random: createRandom(5),
		send() {
			// There is no other host.
		},
		onFailure(error) {
			throw error;
		},
	});
	const started = new Promise<void>(resolve => {
		driver.leadershipStarts.subscribe(epoch => {
			leadership = createLeadership({
				epoch, startedAt: 0, termMilliseconds: 3000, machine, getWallClock: Date.now, getAppliedIndex: driver.replica.getCommitIndex,
			});
			resolve();
		});
	});
	await started;
	const handler = createLeaderRequestHandler({
		driver, machine, getLeadership: () => leadership, broadcastQuarantine() {
			// There are no entries.
		},
	});
	try {
		await run({handler, machine, driver});
	} finally {
		await driver.stop();
		rmSync(folder, {recursive: true});
	}
}
