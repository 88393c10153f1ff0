import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createSuspensionDetector} from './suspension.js';

describe('createSuspensionDetector', () => {
	function doTest(readings: ReadonlyArray<readonly [number, number]>, expected: readonly number[]): void {
		const detector = createSuspensionDetector();
		expect(readings.map(([wallClock, monotonicClock]) => detector.getJump(wallClock, monotonicClock))).toEqual([...expected]);
	}

	test('detects nothing while both clocks advance at the same rate', () => {
		doTest([[1000, 0], [1500, 500], [9000, 8001]], [0, 0, 0]);
	});
	test('detects ten seconds during which the monotonic clock stopped', () => {
		doTest([[1000, 0], [11_050, 50], [11_100, 100]], [0, 10_000, 0]);
	});
	test('detects an adjustment of the wall clock as a suspension, once each', () => {
		doTest([[1000, 0], [4010, 10], [1020, 20], [1030, 30]], [0, 3000, -3000, 0]);
	});
});
