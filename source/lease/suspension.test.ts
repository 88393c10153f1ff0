import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createSuspensionDetector} from './suspension.js';

describe('createSuspensionDetector', () => {
	function doTest(readings: ReadonlyArray<readonly [number, number]>, expected: readonly boolean[]): void {
		const detector = createSuspensionDetector();
		expect(readings.map(([wallClock, monotonicClock]) => detector.hasBeenSuspended(wallClock, monotonicClock))).toEqual([...expected]);
	}

	test('detects nothing while both clocks advance at the same rate', () => {
		doTest([[1000, 0], [1500, 500], [9000, 8001]], [false, false, false]);
	});
	test('detects ten seconds during which the monotonic clock stopped', () => {
		doTest([[1000, 0], [11_050, 50], [11_100, 100]], [false, true, false]);
	});
	test('detects an adjustment of the wall clock as a suspension, once each', () => {
		doTest([[1000, 0], [4010, 10], [1020, 20], [1030, 30]], [false, true, true, false]);
	});
});
