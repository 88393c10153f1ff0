import {describe, test} from 'node:test';
import {expect} from 'earl';
import {documentSchema, getDocumentUpdate, type DocumentUpdate} from '../../configuration/index.js';
import {type ControlClient} from '../../control-client/index.js';
import {type Grant, type Permit, type Renewal} from '../../lease/index.js';
import {keepLease, type LeaseKeeper} from './lease-keeper.js';

function getDocument(services: readonly string[]): ReturnType<typeof documentSchema.parse> {
	return documentSchema.parse({zones: [{name: 'north'}], services: services.map(name => ({name, path: `/${name}`}))});
}

const first = getDocument(['a', 'b', 'c', 'd']);
const second = getDocument(['a', 'b', 'c', 'd', 'e']);
const unrelated = getDocument(['a', 'b', 'x', 'y', 'z']);

describe('keepLease: documents', () => {
	type Expected = {readonly services: number; readonly isExtended: boolean; readonly reportedVersion: number};
	type Versions = readonly [first: number, second: number];

	/** Grants the first version as a full document, then the second version by the given update. */
	function doTest(update: DocumentUpdate, expected: Expected, [firstVersion, secondVersion]: Versions = [1, 2]): void {
		const renewals: Renewal[] = [];
		const serviceCounts: number[] = [];
		const client: Pick<ControlClient, 'sendToLeader' | 'setLeader'> = {
			sendToLeader(message) {
				renewals.push(message as Renewal);
				return 'leader';
			},
			setLeader() {
				// The test has one leader.
			},
		};
		const keeper: LeaseKeeper = keepLease({
			entry: 'one', environment: 'production', renewMilliseconds: 60_000, peer: undefined, getClient: () => client as ControlClient, takeObservations: () => [], getPermits: () => [], takeFailedProbes: () => [], takeUnchangedServers: () => [], getCrashReports: () => [], getEarlierState: () => undefined,
			applyGrant(_grant, document) {
				serviceCounts.push(document?.services.length ?? 0);
			},
			setQuarantined() {
				// No request is quarantined in these tests.
			},
		});

		function grant(version: number, document: DocumentUpdate): void {
			keeper.renew();
			const message: Grant = {
				kind: 'grant', sequence: renewals.length, termMilliseconds: 60_000, epoch: 1, revision: 0, isWhole: true, servers: [], version, document, permits: [], duties: [], probeMilliseconds: 1000, quarantined: [], zonesOut: [], entries: 1, peersRevision: 0, peers: [],
			};
			keeper.receive('control', message);
		}

		grant(firstVersion, {kind: 'whole', document: first});
		const expiresAt = keeper.holder.getExpiresAt();
		grant(secondVersion, update);
		const isExtended = keeper.holder.getExpiresAt() > expiresAt;
		keeper.renew();
		expect({services: serviceCounts.at(-1), isExtended, reportedVersion: renewals.at(-1)!.version}).toEqual(expected);
		keeper.stop();
	}

	test('are applied as a difference', () => {
		doTest(getDocumentUpdate(first, second), {services: 5, isExtended: true, reportedVersion: 2});
	});
	test('are applied as a full document', () => {
		doTest({kind: 'whole', document: second}, {services: 5, isExtended: true, reportedVersion: 2});
	});
	test('are rejected with their grant when the update belongs to a different document, and are then requested in full', () => {
		const update = getDocumentUpdate(unrelated, {...unrelated, zones: [{name: 'south', inService: true}]});
		doTest(update, {services: 4, isExtended: false, reportedVersion: -1});
	});
	test('are applied from version 0 on', () => {
		doTest(getDocumentUpdate(first, second), {services: 5, isExtended: true, reportedVersion: 1}, [0, 1]);
		doTest({kind: 'whole', document: first}, {services: 0, isExtended: true, reportedVersion: 0}, [0, 0]);
	});
});

describe('keepLease: crash reports', () => {
	const reports = [{fingerprint: 'f', server: 1}];

	/** Grants each renewal in the given epoch, and gets the number of reports in each. */
	function doTest(epochs: readonly number[], expected: readonly number[]): void {
		const renewals: Renewal[] = [];
		const client: Pick<ControlClient, 'sendToLeader' | 'setLeader'> = {
			sendToLeader(message) {
				renewals.push(message as Renewal);
				return 'leader';
			},
			setLeader() {
				// The test does not follow the leader.
			},
		};
		const keeper = keepLease({
			entry: 'one', environment: 'production', renewMilliseconds: 60_000, peer: undefined, getClient: () => client as ControlClient,
			takeObservations: () => [], getPermits: () => [], takeFailedProbes: () => [], takeUnchangedServers: () => [], getCrashReports: () => reports, getEarlierState: () => undefined,
			applyGrant() {
				// The test looks at renewals only.
			},
			setQuarantined() {
				// No request is quarantined in these tests.
			},
		});
		for (const epoch of epochs) {
			keeper.renew();
			keeper.receive('control', {
				kind: 'grant', sequence: renewals.length, termMilliseconds: 60_000, epoch, revision: 0, isWhole: true, servers: [], version: 0, document: undefined, permits: [], duties: [], probeMilliseconds: 1000, quarantined: [], zonesOut: [], entries: 1, peersRevision: 0, peers: [],
			});
		}

		keeper.stop();
		expect(renewals.map(renewal => renewal.crashes.length)).toEqual([...expected]);
	}

	test('are sent once to each leader that has granted a lease', () => {
		doTest([1, 1, 1, 2, 2, 2], [0, 1, 0, 0, 1, 0]);
	});
	test('are sent again if another leader answers', () => {
		doTest([1, 2, 2, 2], [0, 1, 1, 0]);
	});
});

describe('keepLease: permits of an earlier leader', () => {
	const held: readonly Permit[] = [{server: 1, slots: 2}];
	const kept: readonly Permit[] = [{server: 1, slots: 2, isKept: true}];

	/** Grants each renewal with permits that the entry keeps, and gets the permits that are applied and those that the renewals report. */
	function doTest(terms: readonly number[], expected: {readonly applied: ReadonlyArray<readonly Permit[]>; readonly reported: ReadonlyArray<readonly Permit[] | undefined>}): void {
		const renewals: Renewal[] = [];
		const applied: Array<readonly Permit[]> = [];
		const client: Pick<ControlClient, 'sendToLeader' | 'setLeader'> = {
			sendToLeader(message) {
				renewals.push(message as Renewal);
				return 'leader';
			},
			setLeader() {
				// The test does not follow the leader.
			},
		};
		const keeper = keepLease({
			entry: 'one', environment: 'production', renewMilliseconds: 60_000, peer: undefined, getClient: () => client as ControlClient,
			takeObservations: () => [], getPermits: () => held, takeFailedProbes: () => [], takeUnchangedServers: () => [], getCrashReports: () => [], getEarlierState: () => undefined,
			applyGrant(grant) {
				applied.push(grant.permits);
			},
			setQuarantined() {
				// No request is quarantined in these tests.
			},
		});
		for (const [index, termMilliseconds] of terms.entries()) {
			keeper.renew();
			keeper.receive('control', {
				kind: 'grant', sequence: renewals.length, termMilliseconds, epoch: index + 1, revision: 0, isWhole: true, servers: [], version: 0, document: undefined, permits: kept, duties: [], probeMilliseconds: 1000, quarantined: [], zonesOut: [], entries: 1, peersRevision: 0, peers: [],
			});
		}

		keeper.stop();
		expect({applied, reported: renewals.map(renewal => renewal.held)}).toEqual({applied: [...expected.applied], reported: [...expected.reported]});
	}

	test('are kept only if the lease has not ended in between', () => {
		doTest([60_000, 60_000], {applied: [[], kept], reported: [[], held]});
	});
});

describe('keepLease: sheds', () => {
	/** Reports a shed in the first of three renewals, of which the given ones are answered, and gets the unanswered reports that each states. */
	function doTest(answered: readonly number[], expected: ReadonlyArray<number | undefined>): void {
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
		const keeper = keepLease({
			entry: 'one', environment: 'production', renewMilliseconds: 60_000, peer: undefined, getClient: () => client as ControlClient,
			takeObservations: () => [{
				server: 1, inFlight: 0, successes: 0, sheds: renewals.length === 0 ? 1 : 0, isCold: false,
			}],
			getPermits: () => [], takeFailedProbes: () => [], takeUnchangedServers: () => [], getCrashReports: () => [], getEarlierState: () => undefined,
			applyGrant() {
				// The test looks at renewals only.
			},
			setQuarantined() {
				// No request is quarantined in these tests.
			},
		});
		for (const number of [1, 2, 3]) {
			keeper.renew();
			if (answered.includes(number)) {
				keeper.receive('control', {
					kind: 'grant', sequence: number, termMilliseconds: 60_000, epoch: 1, revision: 0, isWhole: true, servers: [], version: 0, document: undefined, permits: [], duties: [], probeMilliseconds: 1000, quarantined: [], zonesOut: [], entries: 1, peersRevision: 0, peers: [],
				});
			}
		}

		keeper.stop();
		expect(renewals.map(({observations}) => observations[0]?.unansweredShedReports)).toEqual([...expected]);
	}

	test('are stated until a grant has answered them', () => {
		doTest([], [undefined, 1, 1]);
		doTest([2], [undefined, 1, undefined]);
		doTest([1], [undefined, undefined, undefined]);
	});
});
