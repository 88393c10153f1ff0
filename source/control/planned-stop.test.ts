import {describe, test} from 'node:test';
import {expect} from 'earl';
import {getSuccessor, isSafeToStop, type SuccessorCandidate} from './planned-stop.js';
import {type Availability, type ReplicaStatus} from './message.js';

const silenceMilliseconds = 300;

function createVoter(replica: string, changes: Partial<ReplicaStatus> = {}): ReplicaStatus {
	return {
		replica, role: 'voter', matchIndex: 100, silentMilliseconds: 10, ...changes,
	};
}

describe('mayStop', () => {
	function doTest(replicas: readonly ReplicaStatus[], expected: boolean, availabilities: ReadonlyArray<readonly [string, Availability]> = [], self = 'b'): void {
		expect(isSafeToStop({
			self, replicas, commitIndex: 100, availabilities: new Map(availabilities), maximumSilenceMilliseconds: silenceMilliseconds,
		})).toEqual(expected);
	}

	test('allows it while the others are a quorum', () => {
		doTest([createVoter('a'), createVoter('b'), createVoter('c')], true);
	});
	test('waits for a voter that is silent', () => {
		doTest([createVoter('a'), createVoter('b'), createVoter('c', {silentMilliseconds: silenceMilliseconds})], false);
	});
	test('waits for a voter that has not caught up', () => {
		doTest([createVoter('a'), createVoter('b'), createVoter('c', {matchIndex: 83})], false);
	});
	test('counts a voter that lacks a few entries', () => {
		doTest([createVoter('a'), createVoter('b'), createVoter('c', {matchIndex: 84})], true);
	});
	test('does not count a learner', () => {
		doTest([createVoter('a'), createVoter('b'), createVoter('c', {silentMilliseconds: 9999}), createVoter('d', {role: 'learner'})], false);
	});
	test('allows one of five to go while another one is gone', () => {
		doTest([createVoter('a'), createVoter('b'), createVoter('c'), createVoter('d'), createVoter('e', {silentMilliseconds: 9999})], true);
	});
	test('waits for a voter that is stopping', () => {
		doTest([createVoter('a'), createVoter('b'), createVoter('c')], false, [['c', 'stopping']]);
	});
	test('lets the one go first that sorts first', () => {
		doTest([createVoter('a'), createVoter('b'), createVoter('c')], false, [['a', 'asking']]);
		doTest([createVoter('a'), createVoter('b'), createVoter('c')], true, [['c', 'asking']]);
	});
	test('waits no more for a voter that serves again', () => {
		doTest([createVoter('a'), createVoter('b'), createVoter('c')], true, [['a', 'serving']]);
	});
	test('does not wait where the others can never be a quorum', () => {
		doTest([createVoter('b')], true);
		doTest([createVoter('a', {silentMilliseconds: 9999}), createVoter('b')], true);
	});
	test('does not hold a replica that has no vote', () => {
		doTest([createVoter('a'), createVoter('c', {silentMilliseconds: 9999})], true, [], 'x');
	});
});

describe('getSuccessor', () => {
	function doTest(voters: readonly SuccessorCandidate[], expected: string | undefined): void {
		expect(getSuccessor(voters, silenceMilliseconds)).toEqual(expected);
	}

	test('takes the longest log', () => {
		doTest([createVoter('a', {matchIndex: 5}), createVoter('c', {matchIndex: 7})], 'c');
	});
	test('never takes a silent voter', () => {
		doTest([createVoter('a', {matchIndex: 9, silentMilliseconds: 9999}), createVoter('c', {matchIndex: 7})], 'c');
	});
	test('takes none when nobody answers', () => {
		doTest([createVoter('a', {silentMilliseconds: 9999})], undefined);
	});
});
