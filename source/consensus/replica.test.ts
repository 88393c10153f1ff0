import {describe, test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {
	createReplica, type Action, type LogEntry, type Replica, type ReplicaEvent, type ReplicaMessage,
} from './index.js';

const voters = ['a', 'b', 'c'];

function createTestReplica(term: number, entries: readonly LogEntry[]): Replica {
	return createReplica({
		id: 'a', state: {term, votedFor: undefined}, snapshot: undefined, entries, founders: {voters, learners: []}, electionMilliseconds: 100, heartbeatMilliseconds: 20, random: () => 0.5, now: 0,
	});
}

function receive(from: string, message: ReplicaMessage): ReplicaEvent {
	return {kind: 'received', from, message};
}

/** Makes a replica the leader with the vote of `b`. */
function elect(replica: Replica): readonly Action[] {
	replica.handle({kind: 'tick'}, 200);
	const term = replica.getTerm() + 1;
	replica.handle(receive('b', {
		kind: 'vote', term, isPreVote: true, isGranted: true,
	}), 200);
	return replica.handle(receive('b', {
		kind: 'vote', term, isPreVote: false, isGranted: true,
	}), 200);
}

/** Makes a replica with an empty log the leader and commits its first entry. */
function lead(replica: Replica): void {
	elect(replica);
	replica.handle({kind: 'persisted', lastIndex: 1, lastTerm: 1}, 210);
	replica.handle(receive('b', {
		kind: 'appended', term: 1, isSuccess: true, index: 1, round: 0,
	}), 210);
}

describe('createReplica: commitment', () => {
	function doTest(matchIndex: number, expectedCommit: number, isPersisted = true): void {
		const replica = createTestReplica(2, [{index: 1, term: 1, payload: {kind: 'command', command: 'old'}}]);
		elect(replica);
		expect(replica.getRole()).toEqual('leader');
		if (isPersisted) {
			replica.handle({kind: 'persisted', lastIndex: 2, lastTerm: 3}, 210);
		}

		replica.handle(receive('b', {
			kind: 'appended', term: 3, isSuccess: true, index: matchIndex, round: 0,
		}), 210);
		expect(replica.getCommitIndex()).toEqual(expectedCommit);
	}

	test('an entry of an earlier term is not committed by counting replicas', () => {
		doTest(1, 0);
	});

	test('an entry of the current term commits all entries before it', () => {
		doTest(2, 2);
	});

	test('an entry that the leader has not synced counts on the followers only', () => {
		doTest(2, 0, false);
	});
});

describe('createReplica: confirmation', () => {
	function doTest(round: number, expected: readonly string[]): void {
		const replica = createTestReplica(0, []);
		lead(replica);
		replica.handle({kind: 'confirm', token: 9, isUrgent: true}, 220);
		const actions = replica.handle(receive('b', {
			kind: 'appended', term: 1, isSuccess: true, index: 1, round,
		}), 230);
		expect(actions.map(action => action.kind as string)).toEqual([...expected]);
	}

	test('a response to an append sent before the request does not confirm', () => {
		doTest(0, []);
	});

	test('a quorum of responses to a later round confirms', () => {
		doTest(1, ['confirmed']);
	});
});

describe('createReplica: confirmation requests', () => {
	function doTest(isUrgent: boolean, expected: readonly [asked: number, atHeartbeat: number]): void {
		const replica = createTestReplica(0, []);
		lead(replica);
		const countRounds = (actions: readonly Action[]): number => actions.filter(action => action.kind === 'send' && action.message.kind === 'append' && action.message.round === 1).length;
		const asked = countRounds(replica.handle({kind: 'confirm', token: 9, isUrgent}, 212));
		replica.handle({kind: 'confirm', token: 10, isUrgent}, 213);
		const atHeartbeat = countRounds(replica.handle({kind: 'tick'}, 260));
		expect([asked, atHeartbeat]).toEqual([...expected]);
	}

	test('are sent with the next heartbeat when they are not urgent', () => {
		doTest(false, [0, 2]);
	});
	test('are sent at once when they are urgent', () => {
		doTest(true, [2, 0]);
	});
});

describe('createReplica: actions', () => {
	function doTest(event: ReplicaEvent, context: TestContext): void {
		const replica = createTestReplica(1, [{index: 1, term: 1, payload: {kind: 'noOperation'}}]);
		expect(replica.handle(event, 150)).toMatchSnapshot(context);
	}

	test('a vote is sent only after it is durable', t => {
		doTest(receive('b', {
			kind: 'voteRequest', term: 2, isPreVote: false, isTransfer: false, lastIndex: 1, lastTerm: 1,
		}), t);
	});

	test('a vote is denied to a shorter log', t => {
		doTest(receive('b', {
			kind: 'voteRequest', term: 2, isPreVote: false, isTransfer: false, lastIndex: 0, lastTerm: 0,
		}), t);
	});

	test('an append is acknowledged at once up to the durable index, and in full after the sync', t => {
		doTest(receive('b', {
			kind: 'append', term: 2, previousIndex: 1, previousTerm: 1, entries: [{index: 2, term: 2, payload: {kind: 'noOperation'}}], commitIndex: 1, round: 4,
		}), t);
	});

	test('a conflicting entry is replaced', t => {
		doTest(receive('b', {
			kind: 'append', term: 2, previousIndex: 0, previousTerm: 0, entries: [{index: 1, term: 2, payload: {kind: 'noOperation'}}], commitIndex: 0, round: 4,
		}), t);
	});

	test('a follower ignores a proposal', t => {
		doTest({kind: 'propose', payload: {kind: 'noOperation'}}, t);
	});

	test('a follower rejects a confirmation request', t => {
		doTest({kind: 'confirm', token: 7, isUrgent: true}, t);
	});
});

describe('createReplica: the acknowledged index of a heartbeat', () => {
	/** Checks the index that `a`, which has one synced entry, acknowledges at once after an earlier message. */
	function doTest(first: ReplicaMessage, heartbeatIndex: number, expected: number, isPersisted = false): void {
		const replica = createTestReplica(2, [{index: 1, term: 1, payload: {kind: 'noOperation'}}]);
		replica.handle(receive('b', first), 150);
		if (isPersisted) {
			replica.handle({kind: 'persisted', lastIndex: replica.getLog().getLastIndex(), lastTerm: replica.getLog().getLastTerm()}, 155);
		}

		const actions = replica.handle(receive('b', {
			kind: 'append', term: 2, previousIndex: heartbeatIndex, previousTerm: 2, entries: [], commitIndex: 0, round: 5,
		}), 160);
		const atOnce = actions.flatMap(action => action.kind === 'send' && !action.isAfterSync && action.message.kind === 'appended' ? [action.message] : []);
		expect(atOnce.map(message => [message.isSuccess, message.index, message.round])).toEqual([[true, expected, 5]]);
	}

	const append: ReplicaMessage = {
		kind: 'append', term: 2, previousIndex: 1, previousTerm: 1, entries: [{index: 2, term: 2, payload: {kind: 'noOperation'}}], commitIndex: 0, round: 4,
	};
	const install: ReplicaMessage = {
		kind: 'install', term: 2, round: 4, snapshot: {
			index: 7, term: 2, membership: {voters, learners: []}, data: undefined,
		},
	};

	test('excludes an entry that is not synced', () => {
		doTest(append, 2, 1);
	});
	test('includes an entry that is synced', () => {
		doTest(append, 2, 2, true);
	});
	test('excludes a snapshot that is not synced', () => {
		doTest(install, 7, 0);
	});
	test('includes a snapshot that is synced', () => {
		doTest(install, 7, 7, true);
	});
});

describe('createReplica: a replica that needs a snapshot', () => {
	/** Runs a leader with a compacted log. `b` always responds, and `c` only at times for which `answers` returns true. */
	function doTest(milliseconds: number, answers: (time: number) => boolean, expected: {readonly installs: readonly number[]; readonly hasHeartbeats: boolean}, startedAt = 1000): void {
		const replica = createTestReplica(0, []);
		lead(replica);
		replica.handle({kind: 'compact', index: 1, data: 'contents'}, 220);
		const installs: number[] = [];
		let heartbeats = 0;
		for (let time = startedAt; time < startedAt + milliseconds; time += 20) {
			const answered = (answers(time) ? ['b', 'c'] : ['b']).flatMap(other => replica.handle(receive(other, {
				kind: 'appended', term: 1, isSuccess: true, index: other === 'b' ? 1 : 0, round: 0,
			}), time));
			const sent = [...answered, ...replica.handle({kind: 'tick'}, time + 1)].flatMap(action => action.kind === 'send' && action.to === 'c' ? [action.message.kind] : []);
			installs.push(...sent.filter(kind => kind === 'install').map(() => time - startedAt));
			heartbeats += sent.includes('append') ? 1 : 0;
		}

		expect(installs).toEqual([...expected.installs]);
		expect(heartbeats === milliseconds / 20).toEqual(expected.hasHeartbeats);
	}

	test('receives the snapshot as soon as it responds again, and heartbeats until then', () => {
		doTest(2000, time => time >= 2000, {installs: [1000], hasHeartbeats: true});
	});
	// Guards against a host that returned shortly after an election and received no entries for ten election timeouts.
	test('receives the snapshot as soon as it responds to a new leader for the first time', () => {
		doTest(400, time => time >= 340, {installs: [100], hasHeartbeats: true}, 240);
	});
	test('receives the snapshot again, each time after twice the previous delay, while it responds but has not installed it', () => {
		doTest(4000, () => true, {installs: [0, 1000, 3000], hasHeartbeats: true});
	});
	test('receives the snapshot again after it has stopped responding', () => {
		doTest(2000, time => time < 1400 || time >= 2200, {installs: [0, 1200], hasHeartbeats: true});
	});
});

describe('createReplica: a pre-vote request while no leader is known', () => {
	/** Checks the time at which `a`, which has two entries, requests votes itself. */
	function doTest(lastIndex: number, hasLeader: boolean, expected: number): void {
		const replica = createTestReplica(2, [1, 2].map((index): LogEntry => ({index, term: 2, payload: {kind: 'noOperation'}})));
		if (hasLeader) {
			replica.handle(receive('c', {
				kind: 'append', term: 2, previousIndex: 2, previousTerm: 2, entries: [], commitIndex: 0, round: 1,
			}), 10);
		}

		replica.handle(receive('b', {
			kind: 'voteRequest', term: 3, isPreVote: true, isTransfer: false, lastIndex, lastTerm: 2,
		}), 20);
		let time = 20;
		while (replica.getRole() === 'follower') {
			time++;
			replica.handle({kind: 'tick'}, time);
		}

		expect(time).toEqual(expected);
	}

	test('from a replica with an older log shortens the election timeout', () => {
		doTest(1, false, 25);
	});
	test('from a replica with an equal log leaves the election timeout unchanged', () => {
		doTest(2, false, 75);
	});
	test('has no effect while the leader is active', () => {
		doTest(1, true, 160);
	});
});

// Guards against an election that waits for its timeout although a quorum is connected, after all hosts have lost power.
describe('createReplica: links that open after a start', () => {
	function getPreVoteRequests(replica: Replica, now: number): number {
		return replica.handle({kind: 'tick'}, now).filter(action => action.kind === 'send' && action.message.kind === 'voteRequest' && action.message.isPreVote).length;
	}

	test('start a pre-vote within a tenth of the election timeout', () => {
		const replica = createTestReplica(0, []);
		replica.handle({kind: 'connected'}, 5);
		expect(getPreVoteRequests(replica, 15)).toEqual(2);
	});
	test('start another one, because answers may have found no link', () => {
		const replica = createTestReplica(0, []);
		replica.handle({kind: 'connected'}, 5);
		replica.handle({kind: 'tick'}, 15);
		replica.handle({kind: 'connected'}, 16);
		expect(getPreVoteRequests(replica, 26)).toEqual(2);
	});
	test('change nothing once a leader has been heard', () => {
		const replica = createTestReplica(1, []);
		replica.handle(receive('b', {
			kind: 'append', term: 1, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0, round: 1,
		}), 5);
		replica.handle({kind: 'connected'}, 6);
		expect(getPreVoteRequests(replica, 16)).toEqual(0);
	});
});
