import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../randomness/index.js';
import {createSlackMeter} from './index.js';

const windowMilliseconds = 11_000;
const binMilliseconds = 100;

type Event = {readonly at: number; readonly change: number};

/** Gets the largest sum of changes in a window that ends now and lasts at most so long. */
function getLargestSum(events: readonly Event[], now: number, longest: number): number {
	let sum = 0;
	let largest = 0;
	for (const {at, change} of events.toReversed()) {
		if (at <= now - longest) {
			break;
		}

		sum += change;
		largest = Math.max(largest, sum);
	}

	return largest;
}

describe('createSlackMeter', () => {
	function doTest(seed: number, ratio: number): void {
		const random = createRandom(seed);
		const meter = createSlackMeter(windowMilliseconds);
		const events: Event[] = [];
		for (let now = 0; now < 60_000; now += random() * 60) {
			const isExtra = random() < (Math.floor(now / 7000) % 2 === 0 ? 0.4 : 0.05);
			if (isExtra) {
				meter.charge(now);
			} else {
				meter.repay(ratio);
			}

			events.push({at: now, change: isExtra ? 1 : -ratio});
			const used = meter.getUsed(now);
			expect(used >= getLargestSum(events, now, windowMilliseconds) - 1e-6).toEqual(true);
			expect(used <= getLargestSum(events, now, windowMilliseconds + binMilliseconds) + 1e-6).toEqual(true);
		}
	}

	test('counts the most that any window up to now exceeds the ratio by', () => {
		doTest(7, 0.2);
		doTest(8, 0.5);
		doTest(9, 0);
	});
	test('remembers the most that was in use for a window, although requests have repaid it', () => {
		const meter = createSlackMeter(windowMilliseconds);
		meter.charge(0);
		meter.charge(0);
		meter.repay(2);
		meter.charge(5000);
		expect([meter.getUsed(5000), meter.getPeak(5000), meter.getPeak(11_200), meter.getPeak(16_200)]).toEqual([1, 2, 1, 0]);
	});
	test('counts refused attempts for a window', () => {
		const meter = createSlackMeter(windowMilliseconds);
		meter.refuse(0);
		meter.refuse(6000);
		expect([meter.getRefused(6000), meter.getRefused(11_200), meter.getRefused(17_200), meter.getUsed(6000)]).toEqual([2, 1, 0, 0]);
	});
});
