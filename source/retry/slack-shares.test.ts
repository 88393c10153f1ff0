import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createSlackShares} from './slack-shares.js';

describe('createSlackShares', () => {
	function doTest(wanted: readonly number[], total: number, expected: readonly number[]): void {
		const shares = createSlackShares(wanted, total);
		expect(wanted.map(amount => shares.get(amount))).toEqual([...expected]);
	}

	test('gives equal parts while nobody wants more than others, and leaves one for an entry that joins', () => {
		doTest([1, 1, 1, 1], 24, [5, 5, 5, 5]);
	});
	test('gives the one in trouble what calm ones do not want', () => {
		doTest([1, 1, 1, 30], 21, [1, 1, 1, 18]);
	});
	test('divides what nobody wants equally', () => {
		doTest([1, 7], 20, [5, 11]);
	});
	test('divides a slack that is too small equally among those that want more', () => {
		doTest([50, 9, 2], 20, [9, 9, 2]);
		doTest([50, 10], 0, [0, 0]);
	});
});
