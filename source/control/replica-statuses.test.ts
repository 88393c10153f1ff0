import {describe, test} from 'node:test';
import {expect} from 'earl';
import {
	createReplica, type Membership, type Replica, type ReplicaMessage,
} from '../consensus/index.js';
import {getReplicaStatuses} from './replica-statuses.js';

const silenceLimitMilliseconds = 300;
const electedAt = 200;
const lookedAt = 240;

/** Makes `a` the leader, to which `b` has responded at `electedAt`. */
function lead(voters: readonly string[]): Replica {
	const replica = createReplica({
		id: 'a', state: {term: 0, votedFor: undefined}, snapshot: undefined, entries: [], founders: {voters, learners: []}, electionMilliseconds: 100, heartbeatMilliseconds: 20, now: 0,
		random: () => 0.5,
	});
	replica.handle({kind: 'tick'}, electedAt);
	for (const isPreVote of [true, false]) {
		receive(replica, 'b', {
			kind: 'vote', term: 1, isPreVote, isGranted: true,
		});
	}

	return replica;
}

function receive(replica: Replica, from: string, message: ReplicaMessage): void {
	replica.handle({kind: 'received', from, message}, electedAt);
}

/** Makes the log of the leader durable, and has a replica acknowledge it. */
function acknowledge(replica: Replica, from: string): void {
	const index = replica.getLog().getLastIndex();
	replica.handle({kind: 'persisted', lastIndex: index, lastTerm: 1}, electedAt);
	receive(replica, from, {
		kind: 'appended', term: 1, isSuccess: true, index, round: 0,
	});
}

describe('getReplicaStatuses: silence', () => {
	function doTest(responding: readonly string[], expected: readonly string[]): void {
		const replica = lead(['a', 'b', 'c']);
		for (const member of responding) {
			acknowledge(replica, member);
		}

		const statuses = getReplicaStatuses(replica, lookedAt);
		expect(statuses.filter(status => status.silentMilliseconds < silenceLimitMilliseconds).map(status => status.replica)).toEqual([...expected]);
	}

	// Guards against a status that showed a lost host as responding just after an election, so that a second one was taken away.
	test('a replica that has not responded to a new leader does not count as responding', () => {
		doTest(['b'], ['a', 'b']);
	});
	test('replicas that have responded do', () => {
		doTest(['b', 'c'], ['a', 'b', 'c']);
	});
});

describe('getReplicaStatuses: members', () => {
	function doTest(next: Membership, isCommitted: boolean, expected: ReadonlyArray<readonly [replica: string, role: string]>): void {
		const replica = lead(['a', 'b', 'c']);
		acknowledge(replica, 'b');
		replica.handle({kind: 'propose', payload: {kind: 'membership', membership: next}}, electedAt);
		if (isCommitted) {
			acknowledge(replica, 'b');
		}

		expect(getReplicaStatuses(replica, lookedAt).map(({replica: member, role}) => [member, role])).toEqual(expected.map(([member, role]) => [member, role]));
	}

	// Guards against a leader that was taken away before the removal that its status showed was committed.
	test('a voter whose removal is not committed is listed', () => {
		doTest({voters: ['a', 'b'], learners: []}, false, [['a', 'leader'], ['b', 'voter'], ['c', 'voter']]);
	});
	test('a voter whose removal is committed is not', () => {
		doTest({voters: ['a', 'b'], learners: []}, true, [['a', 'leader'], ['b', 'voter']]);
	});
	test('a learner that is being added is listed', () => {
		doTest({voters: ['a', 'b', 'c'], learners: ['d']}, false, [['a', 'leader'], ['b', 'voter'], ['c', 'voter'], ['d', 'learner']]);
	});
	test('a replica whose role is being changed is listed once', () => {
		doTest({voters: ['a', 'b'], learners: ['c']}, false, [['a', 'leader'], ['b', 'voter'], ['c', 'learner']]);
	});
});
