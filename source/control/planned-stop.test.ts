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

describe('isSafeToStop', () => {
	function doTest(replicas: readonly ReplicaStatus[], expected: boolean, availabilities: ReadonlyArray<readonly [string, Availability]> = [], self = 'b'): void {
		expect(isSafeToStop({
			self, replicas, commitIndex: 100, availabilities: new Map(availabilities), hasAnswered: () => true, maximumSilenceMilliseconds: silenceMilliseconds,
		})).toEqual(expected);
	}

	test('allows a stop while the other voters form a quorum', () => {
		doTest([createVoter('a'), createVoter('b'), createVoter('c')], true);
	});
	test('waits for a voter that does not respond', () => {
		doTest([createVoter('a'), createVoter('b'), createVoter('c', {silentMilliseconds: silenceMilliseconds})], false);
	});
	test('waits for a voter whose log lags behind', () => {
		doTest([createVoter('a'), createVoter('b'), createVoter('c', {matchIndex: 83})], false);
	});
	test('counts a voter whose log lacks a few entries', () => {
		doTest([createVoter('a'), createVoter('b'), createVoter('c', {matchIndex: 84})], true);
	});
	test('does not count a learner', () => {
		doTest([createVoter('a'), createVoter('b'), createVoter('c', {silentMilliseconds: 9999}), createVoter('d', {role: 'learner'})], false);
	});
	test('allows one of five voters to stop while another one is down', () => {
		doTest([createVoter('a'), createVoter('b'), createVoter('c'), createVoter('d'), createVoter('e', {silentMilliseconds: 9999})], true);
	});
	test('waits for a voter that is stopping', () => {
		doTest([createVoter('a'), createVoter('b'), createVoter('c')], false, [['c', 'stopping']]);
	});
	test('gives priority to the lower replica id', () => {
		doTest([createVoter('a'), createVoter('b'), createVoter('c')], false, [['a', 'asking']]);
		doTest([createVoter('a'), createVoter('b'), createVoter('c')], true, [['c', 'asking']]);
	});
	test('does not wait for a voter that serves again', () => {
		doTest([createVoter('a'), createVoter('b'), createVoter('c')], true, [['a', 'serving']]);
	});
	test('does not wait where the other voters can never form a quorum', () => {
		doTest([createVoter('b')], true);
		doTest([createVoter('a', {silentMilliseconds: 9999}), createVoter('b')], true);
	});
	test('does not delay a replica that has no vote', () => {
		doTest([createVoter('a'), createVoter('c', {silentMilliseconds: 9999})], true, [], 'x');
	});
});

describe('isSafeToStop: answers', () => {
	function doTest(voters: readonly string[], unanswered: string, expected: boolean): void {
		expect(isSafeToStop({
			self: 'b', replicas: voters.map(voter => createVoter(voter)), commitIndex: 100, availabilities: new Map(), hasAnswered: voter => voter !== unanswered, maximumSilenceMilliseconds: silenceMilliseconds,
		})).toEqual(expected);
	}

	test('waits for the answer of a voter that it needs', () => {
		doTest(['a', 'b', 'c'], 'c', false);
	});
	test('does not wait for the answer of a voter that it does not need', () => {
		doTest(['a', 'b', 'c', 'd', 'e'], 'e', true);
	});
});

describe('getSuccessor', () => {
	function doTest(voters: readonly SuccessorCandidate[], expected: string | undefined): void {
		expect(getSuccessor(voters, silenceMilliseconds)).toEqual(expected);
	}

	test('chooses the voter with the longest log', () => {
		doTest([createVoter('a', {matchIndex: 5}), createVoter('c', {matchIndex: 7})], 'c');
	});
	test('never chooses an unresponsive voter', () => {
		doTest([createVoter('a', {matchIndex: 9, silentMilliseconds: 9999}), createVoter('c', {matchIndex: 7})], 'c');
	});
	test('chooses none if no voter responds', () => {
		doTest([createVoter('a', {silentMilliseconds: 9999})], undefined);
	});
});
