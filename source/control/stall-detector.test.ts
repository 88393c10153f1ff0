import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createStallDetector, type ClockReading} from './stall-detector.js';

const intervalMilliseconds = 100;

// Guards against orders that waited unread in a suspended process and were carried out after their senders had given up.
describe('createStallDetector', () => {
	/** Observes a regular second, then the given reading relative to it, and checks calls at that reading and `laterMilliseconds` after it. */
	function doTest(jump: ClockReading, laterMilliseconds: number, expected: readonly [boolean, boolean]): void {
		const detector = createStallDetector(intervalMilliseconds);
		const start: ClockReading = {wall: 1_000_000, monotonic: 500};
		for (let elapsed = 0; elapsed <= 1000; elapsed += intervalMilliseconds) {
			detector.observe({wall: start.wall + elapsed, monotonic: start.monotonic + elapsed});
		}

		const woken: ClockReading = {wall: start.wall + 1000 + jump.wall, monotonic: start.monotonic + 1000 + jump.monotonic};
		const first = detector.hasStalledRecently(woken);
		let reading = woken;
		for (let elapsed = intervalMilliseconds; elapsed <= laterMilliseconds; elapsed += intervalMilliseconds) {
			reading = {wall: woken.wall + elapsed, monotonic: woken.monotonic + elapsed};
			detector.observe(reading);
		}

		expect([first, detector.hasStalledRecently(reading)]).toEqual([...expected]);
	}

	test('sees no stall in regular operation', () => {
		doTest({wall: 100, monotonic: 100}, 400, [false, false]);
	});
	test('tolerates a late timer', () => {
		doTest({wall: 600, monotonic: 600}, 400, [false, false]);
	});
	test('sees a stopped process before its first timer after it', () => {
		doTest({wall: 5000, monotonic: 5000}, 400, [true, true]);
	});
	test('sees a suspended machine whose monotonic clock stopped', () => {
		doTest({wall: 5000, monotonic: 10}, 400, [true, true]);
	});
	test('forgets a stall once the calls of that time are read', () => {
		doTest({wall: 5000, monotonic: 5000}, 600, [true, false]);
	});
});
