import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createShortageEstimate} from './index.js';

describe('createShortageEstimate', () => {
	/** Records placements at 100 a second, some of which find spare capacity. */
	function doTest(hasSpareCapacity: (index: number) => boolean, count: number, expected: {readonly shortage: number; readonly returns: readonly [first: number, last: number]}): void {
		const estimate = createShortageEstimate();
		for (let index = 0; index < count; index++) {
			estimate.recordPlacement(hasSpareCapacity(index), index * 10);
		}

		const now = count * 10;
		expect({
			shortage: Math.round(estimate.getShortage() * 10) / 10, returns: [estimate.getRetryAfterMilliseconds(now, 0), Math.round(estimate.getRetryAfterMilliseconds(now, 1))],
		}).toEqual({shortage: expected.shortage, returns: [expected.returns[0], expected.returns[1]]});
	}

	test('is zero while placements find spare capacity', () => {
		doTest(() => true, 100, {shortage: 0, returns: [25, 100]});
	});
	test('does not count a burst of a few requests as a sustained shortage', () => {
		doTest(index => index < 97, 100, {shortage: 0.2, returns: [25, 100]});
	});
	test('is full if three of four placements find no spare capacity, and refused callers return later', () => {
		doTest(index => index % 4 === 0, 100, {shortage: 1, returns: [465, 540]});
	});
	test('limits the time after which refused callers return', () => {
		doTest(() => false, 1000, {shortage: 1, returns: [1500, 1500]});
	});
	test('ends within some placements', () => {
		doTest(index => index > 408, 420, {shortage: 0.3, returns: [25, 100]});
	});
});
