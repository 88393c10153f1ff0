import {describe, test} from 'node:test';
import {expect} from 'earl';
import {hasRoom, defaultAdmission, type Admission} from './index.js';

describe('hasRoom', () => {
	/** Checks the maximum number of requests that a server is filled with. */
	function doTest(slots: number, changes: Partial<Admission>, expected: number): void {
		const admission = {...defaultAdmission, ...changes};
		const counts = Array.from({length: 30}, (_, running) => running);
		const held = counts.findIndex(running => !hasRoom({
			running, waiting: 0, slots, slowness: 1,
		}, admission));
		expect(held).toEqual(expected);
	}

	test('fills all slots without a shortage', () => {
		doTest(6, {}, 6);
		doTest(4, {}, 4);
	});
	test('lets requests of the highest rank exceed the slots without a shortage', () => {
		doTest(6, {isOutranked: false}, 8);
	});
	test('fills up to the knee in a full shortage, and one beyond it with urgent requests', () => {
		doTest(6, {shortage: 1}, 4);
		doTest(6, {shortage: 1, isUrgent: true, isOutranked: false}, 5);
		doTest(4, {shortage: 1}, 3);
	});
	test('reduces the limit in proportion to the shortage', () => {
		doTest(6, {shortage: 0.5}, 5);
	});
	test('admits late requests only to servers well below the knee in a shortage', () => {
		doTest(6, {shortage: 1, isLate: true}, 2);
		doTest(6, {
			shortage: 1, isLate: true, isUrgent: true, isOutranked: false,
		}, 2);
		doTest(6, {shortage: 0, isLate: true}, 6);
	});
	test('uses every slot of a server with too few slots for a knee', () => {
		doTest(1, {shortage: 1}, 1);
		doTest(2, {shortage: 1}, 2);
	});
});
