import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createLineLimit} from './line-limit.js';

describe('createLineLimit', () => {
	/** Takes lines at the given times, and checks which are written and how many were left out at the end. */
	function doTest(times: readonly number[], expected: readonly boolean[], leftOut: {readonly leftOut?: number}): void {
		let now = 0;
		const limit = createLineLimit(2, () => now);
		const taken = times.map(time => {
			now = time;
			return limit.take();
		});
		expect([taken, limit.takeLeftOut(), limit.takeLeftOut()]).toEqual([[...expected], leftOut, {}]);
	}

	test('writes lines up to the limit at once', () => {
		doTest([0, 0], [true, true], {});
	});
	test('leaves out and counts the lines beyond the limit', () => {
		doTest([0, 0, 0, 0], [true, true, false, false], {leftOut: 2});
	});
	test('writes lines again after a while', () => {
		doTest([0, 0, 400, 500], [true, true, false, true], {leftOut: 1});
	});
});
