import {describe, test} from 'node:test';
import {expect} from 'earl';
import {hasRoom, defaultAdmission, type Admission} from './index.js';

describe('hasRoom', () => {
	/** Gets how many requests a server of so many slots holds at most. */
	function doTest(slots: number, changes: Partial<Admission>, expected: number): void {
		const admission = {...defaultAdmission, ...changes};
		const counts = Array.from({length: 30}, (_, running) => running);
		const held = counts.findIndex(running => !hasRoom({
			running, waiting: 0, slots, slowness: 1,
		}, admission));
		expect(held).toEqual(expected);
	}

	test('fills all slots at a calm time', () => {
		doTest(6, {}, 6);
		doTest(4, {}, 4);
	});
	test('lets requests that nothing outranks wait a little at a calm time', () => {
		doTest(6, {isOutranked: false}, 8);
	});
	test('fills up to the knee while servers are short, urgent requests a little further', () => {
		doTest(6, {shortage: 1}, 4);
		doTest(6, {shortage: 1, isUrgent: true, isOutranked: false}, 5);
		doTest(4, {shortage: 1}, 3);
	});
	test('fills less in between', () => {
		doTest(6, {shortage: 0.5}, 5);
	});
	test('leaves late requests only ample room while servers are short', () => {
		doTest(6, {shortage: 1, isLate: true}, 2);
		doTest(6, {
			shortage: 1, isLate: true, isUrgent: true, isOutranked: false,
		}, 2);
		doTest(6, {shortage: 0, isLate: true}, 6);
	});
	test('uses every slot where a knee would waste most of them', () => {
		doTest(1, {shortage: 1}, 1);
		doTest(2, {shortage: 1}, 2);
	});
});
