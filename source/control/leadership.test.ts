import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema, type Announcement, type ServerState} from '../announcement/index.js';
import {documentSchema} from '../configuration/index.js';
import {type Grant, type Renewal} from '../lease/index.js';
import {createLeadership, type Leadership} from './leadership.js';
import {createStateMachine, type StateMachine} from './state-machine.js';

const termMilliseconds = 1000;
const deadlineMilliseconds = 500;

function getAnnouncement(name: string, boot = 'first'): Announcement {
	return announcementSchema.parse({
		service: 'stock', name, host: '127.0.0.1', port: 1, zone: 'north', slots: 4, connections: 100, boot, state: 'warm',
	});
}

function announce(machine: StateMachine, leadership: Leadership | undefined, announcement: Announcement, now: number): void {
	const answer = machine.apply({area: 'registry', command: {kind: 'announced', announcement, at: 0}});
	leadership?.updateServers(answer.area === 'registry' ? answer.changed : [], now);
}

function start(): {readonly machine: StateMachine; readonly leadership: Leadership} {
	const machine = createStateMachine({
		retentionMilliseconds: 1000, maximumClaims: 10, maximumAnswerBytes: 10, maximumStoredBytes: 10,
	});
	machine.apply({
		area: 'configuration', command: {
			kind: 'apply', environment: 'production', base: 0, change: 'c', author: 'a', at: 0, update: {kind: 'whole', document: documentSchema.parse({zones: [{name: 'north'}], services: [{name: 'stock', deadlineMilliseconds}]})},
		},
	});
	announce(machine, undefined, getAnnouncement('old'), 0);
	return {
		machine, leadership: createLeadership({
			epoch: 3, startedAt: 0, termMilliseconds, machine, getWallClock: () => 0, getAppliedIndex: () => 0,
		}),
	};
}

function getRenewal(sequence: number, last: Grant | undefined, heard: readonly number[]): Renewal {
	return {
		kind: 'renewal', entry: 'e1', environment: 'production', sequence, acknowledged: last?.sequence ?? 0, version: last?.version ?? 0, epoch: last?.epoch ?? 0, revision: last?.revision ?? 0, peersRevision: last?.peersRevision ?? 0, observations: [], failedProbes: [], heard, crashes: [], peer: undefined, isFinal: false,
	};
}

function renew(leadership: Leadership, sequence: number, now: number, last?: Grant, heard: readonly number[] = []): Grant {
	return leadership.grant(getRenewal(sequence, last, heard), now, now);
}

describe('createLeadership: servers that an earlier leader may have granted', () => {
	function doTest(now: number, expected: {readonly permits: readonly number[]; readonly duties: readonly number[]}): void {
		const {machine, leadership} = start();
		announce(machine, leadership, getAnnouncement('new'), 10);
		const grant = renew(leadership, 1, now);
		expect({permits: grant.permits.map(permit => permit.server), duties: [...grant.duties]}).toEqual({permits: [...expected.permits], duties: [...expected.duties]});
	}

	test('are not granted at first, unlike a server that joins later', () => {
		doTest(20, {permits: [2], duties: [2]});
	});
	test('are probed after the lease term', () => {
		doTest(termMilliseconds, {permits: [2], duties: [1, 2]});
	});
	test('get permits after the lease term and the longest deadline', () => {
		doTest(termMilliseconds + deadlineMilliseconds, {permits: [1, 2], duties: [1, 2]});
	});
});

describe('createLeadership: changes in a grant', () => {
	function doTest(change: (machine: StateMachine, leadership: Leadership) => void, expected: ReadonlyArray<readonly [id: number, state: ServerState, isRemoved: boolean]>): void {
		const {machine, leadership} = start();
		const first = renew(leadership, 1, 10);
		expect(first.servers.map(server => server.id)).toEqual([1]);
		change(machine, leadership);
		const second = renew(leadership, 2, 20, first);
		expect([second.isWhole, second.document]).toEqual([false, undefined]);
		expect(second.servers.map(({id, state, isRemoved}) => [id, state, isRemoved] as const)).toEqual([...expected]);
	}

	test('contain nothing if nothing changed', () => {
		doTest(() => undefined, []);
	});
	test('contain a server that joined', () => {
		doTest((machine, leadership) => {
			announce(machine, leadership, getAnnouncement('new'), 15);
		}, [[2, 'cold', false]]);
	});
	test('contain a restarted server, which replaces its earlier boot', () => {
		doTest((machine, leadership) => {
			announce(machine, leadership, getAnnouncement('old', 'second'), 15);
		}, [[1, 'cold', true], [2, 'cold', false]]);
	});
	test('contain a server that leaves', () => {
		doTest((machine, leadership) => {
			announce(machine, leadership, {...getAnnouncement('old'), state: 'leaving'}, 15);
		}, [[1, 'leaving', false]]);
	});
});

describe('createLeadership: an entry that knows the servers from an earlier leader', () => {
	/** Announces `old` at index 1 and `other` at index 2, and lets a new leader grant a renewal that knows the servers up to an index. */
	function doTest(knownIndex: number | undefined, change: (machine: StateMachine) => void, expected: {readonly isWhole: boolean; readonly servers: readonly number[]; readonly listed: readonly number[] | undefined}): void {
		const machine = createStateMachine({
			retentionMilliseconds: 1000, maximumClaims: 10, maximumAnswerBytes: 10, maximumStoredBytes: 10,
		});
		for (const [index, name] of ['old', 'other'].entries()) {
			machine.apply({area: 'registry', command: {kind: 'announced', announcement: {...getAnnouncement(name), port: index + 1, bornAt: 1}, at: 0}}, index + 1);
		}

		change(machine);
		const leadership = createLeadership({
			epoch: 4, startedAt: 0, termMilliseconds, machine, getWallClock: () => 0, getAppliedIndex: () => 3,
		});
		const grant = leadership.grant({
			...getRenewal(1, undefined, []), epoch: 3, revision: 7, logIndex: knownIndex,
		}, 10, 10);
		expect({
			isWhole: grant.isWhole, servers: grant.servers.map(({id}) => id), listed: grant.listed, logIndex: grant.logIndex,
		}).toEqual({
			...expected, servers: [...expected.servers], listed: expected.listed === undefined ? undefined : [...expected.listed], logIndex: 3,
		});
	}

	test('gets no server again if nothing changed', () => {
		doTest(2, () => undefined, {isWhole: false, servers: [], listed: [1, 2]});
	});
	test('gets the servers that changed after its index', () => {
		doTest(1, () => undefined, {isWhole: false, servers: [2], listed: [1, 2]});
	});
	test('learns from the list that a server was removed', () => {
		doTest(2, machine => {
			machine.apply({area: 'registry', command: {kind: 'removed', id: 1, at: 0}}, 3);
		}, {isWhole: false, servers: [], listed: [2]});
	});
	test('gets a server whose change has no known index', () => {
		doTest(2, machine => {
			machine.apply({area: 'registry', command: {kind: 'warmed', id: 1, at: 0}});
		}, {isWhole: false, servers: [1], listed: [1, 2]});
	});
	test('gets all servers if it does not tell its index', () => {
		doTest(undefined, () => undefined, {isWhole: true, servers: [1, 2], listed: undefined});
	});
});

describe('createLeadership: time without an announcement', () => {
	function doTest(now: number, isAbsent: boolean): void {
		const {leadership} = start();
		leadership.tick(now);
		expect(renew(leadership, 1, now).servers[0]?.isAbsent).toEqual(isAbsent);
	}

	test('is measured from the start of the leadership', () => {
		doTest(3500, false);
	});
	test('makes a server absent', () => {
		doTest(3501, true);
	});
});

describe('createLeadership: a change of the deadline while a server is cold', () => {
	function doTest(changedDeadlineMilliseconds: number, at: number, expected: readonly number[]): void {
		const {machine, leadership} = start();
		announce(machine, leadership, getAnnouncement('new'), 10);
		renew(leadership, 1, 20);
		machine.apply({
			area: 'configuration', command: {
				kind: 'apply', environment: 'production', base: 1, change: 'raised', author: 'a', at: 0, update: {kind: 'whole', document: documentSchema.parse({zones: [{name: 'north'}], services: [{name: 'stock', deadlineMilliseconds: changedDeadlineMilliseconds}]})},
			},
		});
		leadership.updateDocuments(30);
		leadership.tick(20 + termMilliseconds + 1);
		const grant = leadership.grant({...getRenewal(1, undefined, []), entry: 'e2'}, at, at);
		expect(grant.permits.map(permit => permit.server).filter(server => server !== 1)).toEqual([...expected]);
	}

	const expiredAt = 20 + termMilliseconds + 1;
	test('withholds the slots of an expired holder until the longer deadline has passed', () => {
		doTest(5000, expiredAt + deadlineMilliseconds + 1, []);
	});
	test('grants the slots again after the longer deadline has passed', () => {
		doTest(5000, expiredAt + 5001, [2]);
	});
	test('keeps the longer deadline if the deadline is lowered', () => {
		doTest(50, expiredAt + 51, []);
	});
});

describe('createLeadership: servers that repeat an unchanged announcement', () => {
	function doTest(heard: readonly number[], expected: readonly boolean[]): void {
		const {leadership} = start();
		const first = renew(leadership, 1, 10);
		for (let sequence = 2; sequence < 10; sequence++) {
			renew(leadership, sequence, sequence * 1000, first, heard);
			leadership.tick((sequence * 1000) + 1);
		}

		expect(leadership.getServers(9002).map(server => server.isAbsent)).toEqual([...expected]);
	}

	test('stay present if an entry reports the announcement', () => {
		doTest([1], [false]);
	});
	test('become absent if no entry reports the announcement', () => {
		doTest([], [true]);
	});
	test('are ignored once the registry has removed them', () => {
		doTest([99], [true]);
	});
});

describe('createLeadership: peers', () => {
	const peer = {name: 'e2', host: '127.0.0.1', port: 7};

	/** Renews twice as `e1`, while `e2` appears before the first or second renewal, or disappears before the second. */
	function doTest(order: readonly ['e2' | 'e2 gone' | '', 'e2' | 'e2 gone' | ''], expected: ReadonlyArray<readonly string[] | undefined>): void {
		const {leadership} = start();
		let last: Grant | undefined;
		const peerNames = order.map((event, index) => {
			const now = (index + 1) * 10;
			if (event !== '') {
				leadership.grant({
					...getRenewal(index + 1, undefined, []), entry: 'e2', peer, isFinal: event === 'e2 gone',
				}, now, now);
			}

			last = leadership.grant({...getRenewal(index + 1, last, []), peer: {...peer, name: 'e1'}}, now, now);
			return last.peers?.map(other => other.name);
		});
		expect(peerNames).toEqual([...expected.map(names => names === undefined ? undefined : [...names])]);
	}

	test('are sent once', () => {
		doTest(['e2', ''], [['e2'], undefined]);
	});
	test('are sent again if an entry appears', () => {
		doTest(['', 'e2'], [[], ['e2']]);
	});
	test('are sent again if an entry disappears', () => {
		doTest(['e2', 'e2 gone'], [['e2'], []]);
	});
});

// Guards against a request that crashes more servers after each change of the leader.
describe('createLeadership: crashes that entries reported to an earlier leader', () => {
	function doTest(reports: ReadonlyArray<readonly [fingerprint: string, server: number]>, expected: readonly string[]): void {
		const {leadership} = start();
		const renewal = {...getRenewal(1, undefined, []), crashes: reports.map(([fingerprint, server]) => ({fingerprint, server}))};
		expect(leadership.grant(renewal, 10, 10).quarantined).toEqual([...expected]);
	}

	test('count as new ones', () => {
		doTest([['f', 1], ['f', 2], ['g', 1]], ['f']);
	});
	test('count each server once', () => {
		doTest([['f', 1], ['f', 1]], []);
	});
	test('are ignored without a server, as in the renewals of older entries', () => {
		const {leadership} = start();
		const crashes = [{fingerprint: 'f', crashes: 2}] as never;
		expect(leadership.grant({...getRenewal(1, undefined, []), crashes}, 10, 10).quarantined).toEqual([]);
	});
});
