import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createElapsedEstimate} from './index.js';

describe('createElapsedEstimate', () => {
	function doTest(waits: ReadonlyArray<readonly [wait: number, at: number]>, expected: readonly number[]): void {
		const estimate = createElapsedEstimate();
		expect(waits.map(([wait, at]) => estimate.estimate(wait, at))).toEqual([...expected]);
	}

	test('is the difference from the longest wait', () => {
		doTest([[1500, 0], [1320, 10], [1500, 20], [900, 30]], [0, 180, 0, 600]);
	});
	test('is zero for the first callers', () => {
		doTest([[900, 0], [1500, 10], [900, 20]], [0, 0, 600]);
	});
	test('expires a longest wait that was not repeated', () => {
		doTest([[9000, 0], [1500, 6000], [1400, 6010]], [0, 0, 100]);
	});
});
