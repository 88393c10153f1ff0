import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createElapsedEstimate} from './index.js';

describe('createElapsedEstimate', () => {
	function doTest(waits: ReadonlyArray<readonly [wait: number, at: number]>, expected: readonly number[]): void {
		const estimate = createElapsedEstimate();
		expect(waits.map(([wait, at]) => estimate.estimate(wait, at))).toEqual([...expected]);
	}

	test('takes what is missing to the longest wait for spent', () => {
		doTest([[1500, 0], [1320, 10], [1500, 20], [900, 30]], [0, 180, 0, 600]);
	});
	test('takes the first callers for fresh ones', () => {
		doTest([[900, 0], [1500, 10], [900, 20]], [0, 0, 600]);
	});
	test('forgets a longest wait that nobody tells any more', () => {
		doTest([[9000, 0], [1500, 6000], [1400, 6010]], [0, 0, 100]);
	});
});
