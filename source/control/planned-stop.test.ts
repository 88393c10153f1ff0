import {describe, test} from 'node:test';
import {expect} from 'earl';
import {getSuccessor, isSafeToStop, type SuccessorCandidate} from './planned-stop.js';
import {type Availability, type ReplicaStatus} from './message.js';

const silenceMilliseconds = 300;

function voter(replica: string, changes: Partial<ReplicaStatus> = {}): ReplicaStatus {
	return {
		replica, role: 'voter', matchIndex: 100, silentMilliseconds: 10, ...changes,
	};
}

describe('mayStop', () => {
	function doTest(replicas: readonly ReplicaStatus[], expected: boolean, availabilities: ReadonlyArray<readonly [string, Availability]> = [], self = 'b'): void {
		expect(isSafeToStop({
			self, replicas, commitIndex: 100, availabilities: new Map(availabilities), silenceMilliseconds,
		})).toEqual(expected);
	}

	test('allows it while the others are a quorum', () => {
		doTest([voter('a'), voter('b'), voter('c')], true);
	});
	test('waits for a voter that is silent', () => {
		doTest([voter('a'), voter('b'), voter('c', {silentMilliseconds: silenceMilliseconds})], false);
	});
	test('waits for a voter that has not caught up', () => {
		doTest([voter('a'), voter('b'), voter('c', {matchIndex: 83})], false);
	});
	test('counts a voter that lacks a few entries', () => {
		doTest([voter('a'), voter('b'), voter('c', {matchIndex: 84})], true);
	});
	test('does not count a learner', () => {
		doTest([voter('a'), voter('b'), voter('c', {silentMilliseconds: 9999}), voter('d', {role: 'learner'})], false);
	});
	test('allows one of five to go while another one is gone', () => {
		doTest([voter('a'), voter('b'), voter('c'), voter('d'), voter('e', {silentMilliseconds: 9999})], true);
	});
	test('waits for a voter that is stopping', () => {
		doTest([voter('a'), voter('b'), voter('c')], false, [['c', 'stopping']]);
	});
	test('lets the one go first that sorts first', () => {
		doTest([voter('a'), voter('b'), voter('c')], false, [['a', 'asking']]);
		doTest([voter('a'), voter('b'), voter('c')], true, [['c', 'asking']]);
	});
	test('waits no more for a voter that serves again', () => {
		doTest([voter('a'), voter('b'), voter('c')], true, [['a', 'serving']]);
	});
	test('does not wait where the others can never be a quorum', () => {
		doTest([voter('b')], true);
		doTest([voter('a', {silentMilliseconds: 9999}), voter('b')], true);
	});
	test('does not hold a replica that has no vote', () => {
		doTest([voter('a'), voter('c', {silentMilliseconds: 9999})], true, [], 'x');
	});
});

describe('getSuccessor', () => {
	function doTest(voters: readonly SuccessorCandidate[], expected: string | undefined): void {
		expect(getSuccessor(voters, silenceMilliseconds)).toEqual(expected);
	}

	test('takes the longest log', () => {
		doTest([voter('a', {matchIndex: 5}), voter('c', {matchIndex: 7})], 'c');
	});
	test('never takes a silent voter', () => {
		doTest([voter('a', {matchIndex: 9, silentMilliseconds: 9999}), voter('c', {matchIndex: 7})], 'c');
	});
	test('takes none when nobody answers', () => {
		doTest([voter('a', {silentMilliseconds: 9999})], undefined);
	});
});
