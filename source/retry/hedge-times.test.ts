import {describe, test} from 'node:test';
import {expect} from 'earl';
import {getHedgeTimes, type HedgeTimes} from './index.js';

describe('getHedgeTimes', () => {
	/** Latencies that are spread evenly from 0 to 1000 ms. */
	function doTest(ratio: number, targetMilliseconds: number | undefined, expected: HedgeTimes | undefined, count = 100): void {
		const times = getHedgeTimes({latencies: {getCount: () => count, getQuantile: share => share * 1000}, targetMilliseconds, ratio});
		expect(times).toEqual(expected);
	}

	test('gets none while the latencies of the route are not known', () => {
		doTest(0.05, 400, undefined, 19);
	});
	test('checks as late as a second server can still meet the target', () => {
		doTest(0.05, 1600, {
			first: 845, certain: 990, overdue: 1980, interval: 100,
		});
	});
	test('checks no more attempts than the ratio allows for, however short the target is', () => {
		doTest(0.05, 100, {
			first: 750, certain: 990, overdue: 1980, interval: 100,
		});
		doTest(0.2, 100, {
			first: 500, certain: 960, overdue: 1920, interval: 100,
		});
	});
	test('hedges what is certainly late, however long the target is, and without a target', () => {
		const expected = {
			first: 990, certain: 990, overdue: 1980, interval: 100,
		};
		doTest(0.05, 60_000, expected);
		doTest(0.05, undefined, expected);
	});
});
