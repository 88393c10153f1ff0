import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRecordedLog} from '../../stand-in/recorded-log.js';
import {announcementSchema} from '../announcement/index.js';
import {documentSchema} from '../configuration/index.js';
import {type ControlClient} from '../control-client/index.js';
import {createCrashTracker, type CrashTracker} from '../entry/crashes/index.js';
import {createEntryState, type EntryState} from '../entry/entry-state.js';
import {createFleet, type Fleet} from '../entry/fleet/index.js';
import {
	applyGrant, createEarlierStateKeeper, createZoneView, keepLease, type GrantTargets, type LeaseKeeper,
} from '../entry/lease/index.js';
import {type Grant, type Renewal} from '../lease/index.js';
import {createRandom} from '../randomness/index.js';
import {createLeadership, type Leadership} from './leadership.js';
import {createStateMachine, type StateMachine} from './state-machine.js';

const termMilliseconds = 3000;
const changeAt = 10_000;
const names = ['a', 'b', 'c'];

function createMachine(): StateMachine {
	const machine = createStateMachine({
		retentionMilliseconds: 1000, maximumClaims: 10, maximumAnswerBytes: 10, maximumStoredBytes: 10,
	});
	const document = documentSchema.parse({zones: [{name: 'north'}], services: [{name: 'stock'}]});
	machine.apply({
		area: 'configuration', command: {
			kind: 'apply', environment: 'production', base: 0, change: 'c', author: 'a', at: 0, update: {kind: 'whole', document},
		},
	}, 1);
	for (const [index, name] of ['s', 'dead'].entries()) {
		const announcement = announcementSchema.parse({
			service: 'stock', name, host: '10.0.0.1', port: index + 1, zone: 'north', slots: 4, connections: 100, boot: 'b', state: 'warm',
		});
		machine.apply({area: 'registry', command: {kind: 'announced', at: 0, announcement}}, index + 2);
	}

	return machine;
}

function lead(machine: StateMachine, epoch: number, startedAt: number): Leadership {
	return createLeadership({
		epoch, startedAt, termMilliseconds, machine, getWallClock: () => 0, getAppliedIndex: () => 3,
	});
}

/** What an entry acts on: absent servers, whether the request is quarantined, the number of entries, and that of the peers. */
type View = {readonly absent: readonly number[]; readonly isQuarantined: boolean; readonly entries: number; readonly peers: number | undefined};

/** An entry with the product's lease keeper, servers and quarantine. */
type TestEntry = {
	/** Sends a renewal and applies the grant, and gets what the entry then acts on. `heard` names servers that announced themselves to it. */
	renew(leadership: Leadership, now: number, heard?: readonly number[]): View;
	/** Gets the last renewal. */
	getRenewal(): Renewal;
	getGrant(): Grant;
};

function createTestEntry(name: string): TestEntry {
	const state: EntryState = createEntryState();
	const random = createRandom(1);
	const log = createRecordedLog();
	const fleet: Fleet = createFleet(random, undefined);
	const renewals: Renewal[] = [];
	const client = {
		sendToLeader(message: unknown) {
			renewals.push(message as Renewal);
			return 'leader';
		},
		setLeader() {
			// The test chooses the leader.
		},
	} as unknown as ControlClient;
	const crashTracker: CrashTracker = createCrashTracker(client);
	const earlierState = createEarlierStateKeeper({
		getCurrent: () => ({absent: fleet.getAbsent(), quarantined: crashTracker.getQuarantined(), entries: state.entryCount}), getTime: () => performance.now(),
	});
	let heardServers: readonly number[] = [];
	let peers: number | undefined;
	let lastGrant: Grant | undefined;
	const keeper: LeaseKeeper = keepLease({
		entry: name, environment: 'production', renewMilliseconds: 60_000, peer: {name, host: '127.0.0.1', port: 1}, getClient: () => client,
		takeObservations: () => [], getPermits: () => [], takeFailedProbes: () => [], takeUnchangedServers: () => heardServers, getCrashReports: () => [], getEarlierState: earlierState.get,
		applyGrant(grant, document, host) {
			applyGrant(targets, {grant, document, host});
		},
		setQuarantined() {
			// No notices are sent here.
		},
	});
	const targets = {
		state, fleet, random, log, crashTracker, earlierState, lease: keeper.holder,
		zoneView: createZoneView({log, isServingWithoutControl: false, getTime: () => 0}),
		prober: {
			schedule: {
				assign() {
					// Nothing is probed here.
				},
			},
		},
		peers: {
			setAddresses(addresses: readonly unknown[]) {
				peers = addresses.length;
			},
		},
		callerServer: {
			applyLimits() {
				// There are no callers.
			},
		},
		readiness: {mayUsePermits: () => true},
	} as unknown as GrantTargets;

	return {
		renew(leadership, now, heard = []) {
			heardServers = heard;
			keeper.renew();
			lastGrant = leadership.grant(renewals.at(-1)!, now, now);
			keeper.receive('control', lastGrant);
			keeper.stop();
			return {
				absent: fleet.getAbsent(), isQuarantined: crashTracker.isQuarantined(() => 'f'), entries: state.entryCount, peers,
			};
		},
		getRenewal: () => renewals.at(-1)!,
		getGrant: () => lastGrant!,
	};
}

const known: View = {
	absent: [2], isQuarantined: true, entries: 3, peers: 2,
};

type Play = {readonly machine: StateMachine; readonly entries: readonly TestEntry[]; readonly next: Leadership};

/** Lets three entries renew with a leader that knows a dead server and a quarantine, and replaces the leader. */
function play(): Play {
	const machine = createMachine();
	const leadership = lead(machine, 1, 0);
	const entries = names.map(name => createTestEntry(name));
	leadership.reportCrash('f', 1, 10);
	leadership.reportCrash('f', 2, 10);
	let last: readonly View[] = [];
	for (let now = 0; now < changeAt; now += 500) {
		leadership.tick(now);
		last = entries.map(entry => entry.renew(leadership, now, [1]));
	}

	expect(last).toEqual([known, known, known]);
	return {machine, entries, next: lead(machine, 2, changeAt)};
}

describe('createLeadership: the first grant of a new leader', () => {
	test('leaves a dead server absent', () => {
		const {entries, next} = play();
		expect(entries[1]!.renew(next, changeAt + 10).absent).toEqual([2]);
		expect(entries[1]!.getGrant().listed).toEqual([1, 2]);
	});
	test('leaves a request quarantined', () => {
		const {entries, next} = play();
		expect(entries[1]!.renew(next, changeAt + 10).isQuarantined).toEqual(true);
	});
	test('tells an entry that it has peers', () => {
		const {entries, next} = play();
		const {entries: entryCount, peers} = entries[1]!.renew(next, changeAt + 10);
		expect([entryCount, peers]).toEqual([3, 2]);
	});
	test('loses nothing to a second change of the leader', () => {
		const {machine, entries, next} = play();
		expect(entries[1]!.renew(next, changeAt + 10)).toEqual(known);
		expect(entries[1]!.renew(lead(machine, 3, changeAt + 20), changeAt + 30)).toEqual(known);
	});
});

describe('createLeadership: what an entry keeps from an earlier leader', () => {
	test('is known to the new leader and to other entries after the next renewal', () => {
		const {entries, next} = play();
		entries[1]!.renew(next, changeAt + 10);
		expect(entries[1]!.renew(next, changeAt + 500)).toEqual(known);
		expect([next.getQuarantined(changeAt + 500), next.getServers(changeAt + 500).map(server => server.isAbsent)]).toEqual([['f'], [false, true]]);
		const {absent, isQuarantined, entries: entryCount} = createTestEntry('d').renew(next, changeAt + 510);
		expect([absent, isQuarantined, entryCount]).toEqual([[2], true, 3]);
	});
	test('is not stated again', () => {
		const {entries, next} = play();
		const stated = [10, 500, 1000].map(after => {
			entries[1]!.renew(next, changeAt + after);
			return entries[1]!.getRenewal().earlier;
		});
		expect(stated).toEqual([undefined, {absent: [2], quarantined: ['f'], entries: 3}, undefined]);
	});
	test('gives way to an announcement that the new leader heard before', () => {
		const {entries, next} = play();
		entries[1]!.renew(next, changeAt + 10);
		entries[0]!.renew(next, changeAt + 20, [2]);
		expect(entries[1]!.renew(next, changeAt + 500).absent).toEqual([]);
	});
	test('gives way to an announcement that the new leader hears later', () => {
		const {entries, next} = play();
		entries[1]!.renew(next, changeAt + 10);
		entries[1]!.renew(next, changeAt + 500);
		entries[0]!.renew(next, changeAt + 600, [2]);
		expect(entries[1]!.renew(next, changeAt + 1000).absent).toEqual([]);
	});
	test('ends with the leases of the earlier leader, as to entries and peers', () => {
		const {entries, next} = play();
		const views = [10, 500, 2500, 3000].map(after => {
			next.tick(changeAt + after);
			return entries.slice(0, 2).map(entry => entry.renew(next, changeAt + after, [1])).map(view => [view.entries, view.peers]);
		});
		expect(views).toEqual([[[3, 2], [3, 2]], [[3, 2], [3, 2]], [[3, 2], [3, 2]], [[2, 1], [2, 1]]]);
	});
	test('does not change the grants for an entry of an earlier release, except that it keeps its peers while leases of the earlier leader may be valid', () => {
		const {entries, next} = play();
		entries[1]!.renew(next, changeAt + 10);
		const {earlier, ...renewal} = entries[1]!.getRenewal();
		const getOlder = (epoch: number, revision: number, now: number): Grant => next.grant({
			...renewal, entry: 'old', peer: {name: 'old', host: '127.0.0.1', port: 1}, sequence: now, epoch, revision, peersRevision: epoch === 1 ? 1 : 0,
		}, now, now);
		const grants = [getOlder(1, 0, changeAt + 20), getOlder(2, 2, changeAt + 500), getOlder(2, 2, changeAt + termMilliseconds)];
		expect([earlier, ...grants.map(grant => [grant.entries, grant.quarantined.length, grant.peers?.length])]).toEqual([undefined, [2, 0, undefined], [2, 0, undefined], [2, 0, 1]]);
	});
});
