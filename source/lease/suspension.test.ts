import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createSuspensionDetector} from './suspension.js';

describe('createSuspensionDetector', () => {
	function doTest(readings: ReadonlyArray<readonly [number, number]>, expected: readonly boolean[]): void {
		const watch = createSuspensionDetector();
		expect(readings.map(([wallClock, monotonicClock]) => watch.hasBeenSuspended(wallClock, monotonicClock))).toEqual([...expected]);
	}

	test('sees nothing where both clocks go on', () => {
		doTest([[1000, 0], [1500, 500], [9000, 8001]], [false, false, false]);
	});
	test('sees ten seconds that the steady clock did not count', () => {
		doTest([[1000, 0], [11_050, 50], [11_100, 100]], [false, true, false]);
	});
	test('takes a time of day that is set for a suspension, once', () => {
		doTest([[1000, 0], [4010, 10], [1020, 20], [1030, 30]], [false, true, true, false]);
	});
});
