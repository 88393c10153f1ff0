import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, mock, test,
} from 'node:test';
import {expect} from 'earl';
import {type ControlClient} from '../../control-client/index.js';
import {type Renewal} from '../../lease/index.js';
import {createRandom} from '../../randomness/index.js';
import {type Log} from '../../telemetry/index.js';
import {createEntryState} from '../entry-state.js';
import {createFleet} from '../fleet/index.js';
import {keepLease, type LeaseKeeper} from './lease-keeper.js';
import {createReadiness, type Readiness} from './readiness.js';

type Scene = {
	readonly keeper: LeaseKeeper;
	readonly readiness: Readiness;
	readonly renewals: readonly Renewal[];
	/** Grants the last renewal. */
	grant(): void;
	/** Moves the wall clock on while the monotonic clock stands still. */
	step(milliseconds: number): void;
};

const log: Pick<Log, 'info'> = {
	info() {
		// No test reads the log.
	},
};

/** Creates an entry that renews when the test asks for it, or when it is expedited. */
function createScene(): Scene {
	const renewals: Renewal[] = [];
	const client: Pick<ControlClient, 'sendToLeader' | 'setLeader'> = {
		sendToLeader(message) {
			renewals.push(message as Renewal);
			return 'leader';
		},
		setLeader() {
			// The test has one leader.
		},
	};
	const fleet = createFleet(createRandom(1));
	const keeper = keepLease({
		entry: 'one',
		environment: 'production',
		renewMilliseconds: 60_000,
		peer: undefined,
		getClient: () => client as ControlClient,
		observeSuspension() {
			readiness.revokePermitsIfNeeded();
		},
		takeObservations: () => [],
		getPermits() {
			readiness.revokePermitsIfNeeded();
			return fleet.getPermits();
		},
		takeFailedProbes: () => [],
		takeUnchangedServers: () => [],
		getCrashReports: () => [],
		getEarlierState: () => undefined,
		applyGrant() {
			// These tests look at the lease only.
		},
		setQuarantined() {
			// No request is quarantined in these tests.
		},
	});
	const readiness = createReadiness({
		state: createEntryState(), fleet, lease: keeper.holder, log: log as Log, isServingWithoutControl: false, onSuspension: keeper.expedite,
	});
	return {
		keeper,
		readiness,
		renewals,
		grant() {
			keeper.receive('control', {
				kind: 'grant', sequence: renewals.length, termMilliseconds: 3000, epoch: 1, revision: 0, isWhole: true, servers: [],
				version: 0, document: undefined, permits: [], duties: [], probeMilliseconds: 1000, quarantined: [], zonesOut: [], entries: 1, peersRevision: 0, peers: [],
			});
		},
		step(milliseconds) {
			mock.timers.setTime(Date.now() + milliseconds);
		},
	};
}

describe('keepLease: a step of the wall clock or a suspension of the host', () => {
	beforeEach(() => {
		mock.timers.enable({apis: ['Date'], now: 1_000_000_000});
	});
	afterEach(() => {
		mock.timers.reset();
	});

	/** Grants a lease, steps the wall clock, and gets whether the lease is valid after a grant for the next renewal. */
	function doTest(stepMilliseconds: number): void {
		const scene = createScene();
		scene.readiness.revokePermitsIfNeeded();
		scene.keeper.renew();
		scene.grant();
		scene.step(stepMilliseconds);
		scene.keeper.renew();
		scene.grant();
		scene.keeper.stop();
		expect(scene.readiness.mayDispatch(performance.now())).toEqual(true);
	}

	test('does not cost the grant of the renewal that notices it', () => {
		doTest(5000);
		doTest(2000);
		doTest(-5000);
	});
	test('does not leave what the entry kept to a lease that ended meanwhile', () => {
		const scene = createScene();
		scene.readiness.revokePermitsIfNeeded();
		scene.keeper.renew();
		scene.grant();
		scene.keeper.renew();
		scene.step(5000);
		scene.grant();
		scene.keeper.stop();
		expect([scene.keeper.holder.isValid(performance.now()), scene.keeper.holder.getAcknowledged()]).toEqual([false, 1]);
	});
	test('is followed by a renewal at once, even while one is on its way', async () => {
		for (const stepMilliseconds of [5000, -5000]) {
			const scene = createScene();
			scene.readiness.revokePermitsIfNeeded();
			scene.keeper.renew();
			scene.step(stepMilliseconds);
			scene.readiness.revokePermitsIfNeeded();
			await delay(100);
			scene.keeper.stop();
			expect(scene.renewals.length).toEqual(2);
		}
	});
});
