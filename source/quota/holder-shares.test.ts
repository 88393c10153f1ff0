import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createHolderShares} from './holder-shares.js';

// Guards against a holder that wants much and leaves nothing to the others.
describe('createHolderShares', () => {
	function doTest(wanted: readonly number[], total: number, expected: readonly number[]): void {
		const shares = createHolderShares(wanted, total);
		expect(wanted.map(own => shares.get(own))).toEqual([...expected]);
	}

	test('gives everyone what is wanted, if there is enough', () => {
		doTest([1, 2, 3], 6, [1, 2, 3]);
	});
	test('gives an equal share to those who want more', () => {
		doTest([1, 40, 9], 9, [1, 4, 4]);
	});
	test('counts nobody who wants nothing', () => {
		doTest([0, 5, 5], 6, [0, 3, 3]);
	});
});
