import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createShortageEstimate} from './index.js';

describe('createPressure', () => {
	/** Replays placements at 100 a second: which of them found a server below its knee. */
	function doTest(isRelieved: (index: number) => boolean, count: number, expected: {readonly shortage: number; readonly returns: readonly [first: number, last: number]}): void {
		const pressure = createShortageEstimate();
		for (let index = 0; index < count; index++) {
			pressure.recordPlacement(isRelieved(index), index * 10);
		}

		const now = count * 10;
		expect({
			shortage: Math.round(pressure.getShortage() * 10) / 10, returns: [pressure.getRetryAfterMilliseconds(now, 0), Math.round(pressure.getRetryAfterMilliseconds(now, 1))],
		}).toEqual({shortage: expected.shortage, returns: [expected.returns[0], expected.returns[1]]});
	}

	test('is none while placements find servers', () => {
		doTest(() => true, 100, {shortage: 0, returns: [25, 100]});
	});
	test('takes a burst of a few requests for no standing shortage', () => {
		doTest(index => index < 97, 100, {shortage: 0.2, returns: [25, 100]});
	});
	test('is whole when three of four placements find none, and lets refused callers stay away for longer', () => {
		doTest(index => index % 4 === 0, 100, {shortage: 1, returns: [465, 540]});
	});
	test('lets nobody stay away for ever', () => {
		doTest(() => false, 1000, {shortage: 1, returns: [1500, 1500]});
	});
	test('ends within some placements', () => {
		doTest(index => index > 408, 420, {shortage: 0.3, returns: [25, 100]});
	});
});
