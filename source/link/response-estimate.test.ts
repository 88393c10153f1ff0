import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createResponseEstimate} from './response-estimate.js';

// Guards against an admission that reserves for sizes of long ago, or for a single outlier.
describe('createResponseEstimate', () => {
	/** Records sizes, and expects an estimate in kilobytes. */
	function doTest(sizes: readonly number[], expected: number | undefined): void {
		const estimate = createResponseEstimate();
		for (const size of sizes) {
			estimate.recordSize(size);
			estimate.recordWait(size);
		}

		const size = estimate.getSize();
		expect(size === undefined ? undefined : Math.round(size / 1000)).toEqual(expected);
		expect(Math.round(estimate.getWait() / 1000)).toEqual(expected ?? 0);
	}

	test('is unknown before the first response', () => {
		doTest([], undefined);
	});
	test('is the first size', () => {
		doTest([90_000], 90);
	});
	test('follows a change within some tens of responses', () => {
		doTest([...Array.from({length: 50}, () => 10_000), ...Array.from({length: 30}, () => 90_000)], 87);
	});
	test('is not taken over by one outlier', () => {
		doTest([...Array.from({length: 50}, () => 90_000), 540_000], 135);
	});
});
