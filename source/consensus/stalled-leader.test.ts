import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createReplica, type Replica, type ReplicaEvent} from './index.js';

const response: ReplicaEvent = {
	kind: 'received', from: 'b', message: {
		kind: 'appended', term: 1, isSuccess: true, index: 1, round: 0,
	},
};

/** Creates a replica of three that leads since 200, and has received a response of `b` at 210. */
function createLeader(): Replica {
	const replica = createReplica({
		id: 'a', state: {term: 0, votedFor: undefined}, snapshot: undefined, entries: [], founders: {voters: ['a', 'b', 'c'], learners: []}, electionMilliseconds: 100, heartbeatMilliseconds: 20, now: 0,
		random: () => 0.5,
	});
	replica.handle({kind: 'tick'}, 200);
	for (const isPreVote of [true, false]) {
		replica.handle({
			kind: 'received', from: 'b', message: {
				kind: 'vote', term: 1, isPreVote, isGranted: true,
			},
		}, 200);
	}

	replica.handle({kind: 'persisted', lastIndex: 1, lastTerm: 1}, 210);
	replica.handle(response, 210);
	return replica;
}

describe('createReplica: a leader without responses', () => {
	/** Checks whether `a` still leads after its ticks; it last heard from `b` at 210. */
	function doTest(tickTimes: readonly number[], respondsAt: number | undefined, expected: boolean): void {
		const replica = createLeader();
		for (const time of tickTimes) {
			replica.handle({kind: 'tick'}, time);
			if (time === respondsAt) {
				replica.handle(response, time);
			}
		}

		expect(replica.getRole() === 'leader').toEqual(expected);
	}

	function getTicks(from: number, to: number): readonly number[] {
		return Array.from({length: (to - from) / 20}, (_, index) => from + (index * 20));
	}

	// Guards against a leader that gives up after its process stood still, though the responses wait unread.
	test('reads the responses that wait after it stood still', () => {
		doTest([900, ...getTicks(920, 1060)], 900, true);
	});
	test('steps down an election timeout after it stood still', () => {
		doTest([900, ...getTicks(920, 1020)], undefined, false);
	});
	test('leads until then', () => {
		doTest([900, ...getTicks(920, 1000)], undefined, true);
	});
	test('steps down after two election timeouts if it runs', () => {
		doTest(getTicks(220, 440), undefined, false);
	});
	test('leads until two election timeouts have passed', () => {
		doTest(getTicks(220, 400), undefined, true);
	});
});
