import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../randomness/index.js';
import {createAdmissionThrottle} from './index.js';

describe('createAdmissionThrottle', () => {
	/** Lets every tenth request be one that yields, and checks the share of these that may be placed, in tenths. */
	function doTest(spareShare: number, expected: (tenths: number) => boolean): void {
		const throttle = createAdmissionThrottle();
		const random = createRandom(17);
		let placed = 0;
		for (let request = 0; request < 20_000; request++) {
			throttle.recordPlacement(random() < spareShare);
			placed += request % 10 === 0 && throttle.mayPlace(random()) ? 1 : 0;
		}

		expect(expected(Math.round(placed / 200))).toEqual(true);
	}

	test('lets all requests pass while there is spare capacity', () => {
		doTest(1, tenths => tenths === 10);
		doTest(0.98, tenths => tenths >= 9);
	});
	test('lets few pass while a fifth of the requests finds none', () => {
		doTest(0.8, tenths => tenths <= 3);
	});
	test('lets none pass while no request finds any', () => {
		doTest(0, tenths => tenths === 0);
	});

	test('lets requests pass again soon after a shortage', () => {
		const throttle = createAdmissionThrottle();
		for (let request = 0; request < 100; request++) {
			throttle.recordPlacement(false);
		}

		for (let request = 0; request < 40; request++) {
			throttle.recordPlacement(true);
		}

		expect(throttle.mayPlace(0.99)).toEqual(true);
	});
});
