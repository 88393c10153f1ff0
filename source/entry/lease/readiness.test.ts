import {performance} from 'node:perf_hooks';
import {describe, mock, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema} from '../../announcement/index.js';
import {documentSchema} from '../../configuration/index.js';
import {createLeaseHolder, type Grant} from '../../lease/index.js';
import {createRandom} from '../../randomness/index.js';
import {createSlackPart} from '../../retry/index.js';
import {type Log} from '../../telemetry/index.js';
import {createEntryState} from '../entry-state.js';
import {createFleet, type Fleet} from '../fleet/index.js';
import {applyGrant, type GrantTargets} from './grant-application.js';
import {createReadiness} from './readiness.js';

const suspendedMilliseconds = 60_000;
const lentPart = 5;

const log: Pick<Log, 'info' | 'warn'> = {
	info() {
		// No test reads the log.
	},
	warn() {
		// No test reads the log.
	},
};

/** Parts of an entry that have no permits. */
const otherTargets = {
	zoneView: {recordGrant: () => undefined},
	prober: {schedule: {assign: () => undefined}},
	crashTracker: {setQuarantined: () => undefined},
	earlierState: {record: () => undefined},
};

function createColdFleet(): Fleet {
	const fleet = createFleet(createRandom(1), undefined);
	fleet.update([{
		id: 1, state: 'cold', isAbsent: false, isRemoved: false, announcement: announcementSchema.parse({
			service: 'stock', name: 's', host: '127.0.0.1', port: 1, zone: 'north', slots: 4, connections: 100, boot: 'one', state: 'cold',
		}),
	}], true);
	return fleet;
}

function getGrant(sequence: number): Grant {
	return {
		kind: 'grant',
		sequence,
		termMilliseconds: 3000,
		epoch: 1,
		revision: 0,
		isWhole: false,
		servers: [],
		version: 0,
		document: undefined,
		permits: [{server: 1, slots: 2}],
		slack: {part: lentPart},
		duties: [],
		probeMilliseconds: 1000,
		quarantined: [],
		zonesOut: [],
		entries: 1,
		peersRevision: 0,
		peers: undefined,
	};
}

// While a host is suspended, its monotonic clock may stand still, and its permits may be granted to others.
describe('createReadiness: permits and the part of the slack of a grant that arrives after the host was suspended', () => {
	type Scene = {
		/** Whether the renewal was sent before the suspension. */
		readonly isEarlier: boolean;
		/** Whether the suspension is noticed before the grant arrives. */
		readonly isNoticed: boolean;
	};

	function doTest({isEarlier, isNoticed}: Scene, expected: number): void {
		mock.timers.enable({apis: ['Date'], now: 0});
		const state = createEntryState();
		const fleet = createColdFleet();
		const lease = createLeaseHolder();
		const slackPart = createSlackPart({
			ratio: 0.2, slack: 10, getTime: () => performance.now(), revokeIfNeeded: () => undefined,
		});
		const readiness = createReadiness({
			state, fleet, slackPart, lease, log: log as Log, isServingWithoutControl: false,
		});
		const targets: Pick<GrantTargets, 'state' | 'fleet' | 'slackPart' | 'lease' | 'readiness'> = {
			state, fleet, slackPart, lease, readiness,
		};
		readiness.revokePermitsIfNeeded();
		const earlierSequence = lease.startRenewal(performance.now());
		mock.timers.setTime(suspendedMilliseconds);
		if (isNoticed) {
			readiness.revokePermitsIfNeeded();
		}

		const grant = getGrant(isEarlier ? earlierSequence : lease.startRenewal(performance.now()));
		lease.accept(grant, performance.now());
		applyGrant({...otherTargets, ...targets} as unknown as GrantTargets, {grant, document: undefined, host: 'control'});
		mock.timers.reset();
		expect([fleet.getPermits().length, slackPart.getPart()]).toEqual([expected, expected * lentPart]);
		lease.release();
		readiness.revokePermitsIfNeeded();
		expect(slackPart.getPart()).toEqual(0);
		fleet.close();
	}

	test('are not used if the entry asked for them before', () => {
		doTest({isEarlier: true, isNoticed: true}, 0);
		doTest({isEarlier: true, isNoticed: false}, 0);
	});
	test('are used if the entry asked for them afterwards', () => {
		doTest({isEarlier: false, isNoticed: true}, 1);
	});
});

describe('createReadiness: a lease at a host that was suspended', () => {
	const termMilliseconds = 3000;

	/** Grants a lease, moves the wall clock on by a jump while the monotonic clock stands still, and gets whether the entry may dispatch. */
	function doTest(jumpMilliseconds: number, next: 'earlier' | 'earlier, before it is noticed' | 'later' | undefined, expected: boolean): void {
		mock.timers.enable({apis: ['Date'], now: 1_000_000});
		const state = {...createEntryState(), document: documentSchema.parse({zones: [{name: 'north'}], services: [{name: 'stock'}]})};
		const lease = createLeaseHolder();
		const fleet = createColdFleet();
		const readiness = createReadiness({
			state, fleet, lease, log: log as Log, isServingWithoutControl: false,
		});
		readiness.revokePermitsIfNeeded();
		const first = lease.startRenewal(performance.now());
		const waiting = lease.startRenewal(performance.now());
		lease.accept({...getGrant(first), termMilliseconds}, performance.now());
		expect(readiness.mayDispatch(performance.now())).toEqual(true);
		mock.timers.setTime(1_000_000 + jumpMilliseconds);
		if (next !== 'earlier, before it is noticed') {
			readiness.revokePermitsIfNeeded();
		}

		if (next !== undefined) {
			lease.accept({...getGrant(next === 'later' ? lease.startRenewal(performance.now()) : waiting), termMilliseconds}, performance.now());
		}

		const now = performance.now();
		const observed = [readiness.mayDispatch(now), readiness.isReady(), lease.isValid(now)];
		mock.timers.reset();
		fleet.close();
		expect(observed).toEqual([expected, expected, expected]);
	}

	test('ends if the suspension was longer than the rest of the term', () => {
		doTest(suspendedMilliseconds, undefined, false);
		doTest(termMilliseconds, undefined, false);
	});
	test('is not renewed by a grant that waited in a socket meanwhile', () => {
		doTest(suspendedMilliseconds, 'earlier', false);
		doTest(suspendedMilliseconds, 'earlier, before it is noticed', false);
	});
	test('is renewed afterwards', () => {
		doTest(suspendedMilliseconds, 'later', true);
	});
	test('goes on after a short suspension, and after the wall clock was put back', () => {
		doTest(1000, undefined, true);
		doTest(-suspendedMilliseconds, undefined, true);
	});
	test('ends after many short suspensions that add up to the term', () => {
		mock.timers.enable({apis: ['Date'], now: 1_000_000});
		const lease = createLeaseHolder();
		const fleet = createColdFleet();
		const readiness = createReadiness({
			state: createEntryState(), fleet, lease, log: log as Log, isServingWithoutControl: false,
		});
		readiness.revokePermitsIfNeeded();
		lease.accept({...getGrant(lease.startRenewal(performance.now())), termMilliseconds}, performance.now());
		for (let suspended = 300; suspended <= termMilliseconds; suspended += 300) {
			expect(readiness.mayDispatch(performance.now())).toEqual(true);
			mock.timers.setTime(1_000_000 + suspended);
		}

		const isValid = readiness.mayDispatch(performance.now());
		mock.timers.reset();
		fleet.close();
		expect(isValid).toEqual(false);
	});
});
