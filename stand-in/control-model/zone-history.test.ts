import {describe, test} from 'node:test';
import {expect} from 'earl';
import {type ZoneOrderRecord, type ZoneRead} from './history.js';
import {findZoneFault} from './zone-history.js';

const zone = 'a';

function createOrder(isOut: boolean, startedAt: number, endedAt: number, isAcknowledged = true): ZoneOrderRecord {
	return {
		zone, isOut, startedAt, endedAt, isAcknowledged,
	};
}

function createRead(isOut: boolean, startedAt: number, endedAt = startedAt + 1): ZoneRead {
	return {
		zone, isOut, startedAt, endedAt, reader: 'e0',
	};
}

describe('findZoneFault', () => {
	function doTest(orders: readonly ZoneOrderRecord[], reads: readonly ZoneRead[], isSound: boolean): void {
		expect(findZoneFault({orders, reads}) === undefined).toEqual(isSound);
	}

	const evacuation = createOrder(true, 1, 3);

	test('accepts either value while an order is in progress, and only the ordered one after it', () => {
		doTest([evacuation], [createRead(false, 2), createRead(true, 4)], true);
		doTest([evacuation], [createRead(false, 4)], false);
	});
	test('finds a value that was read before the order', () => {
		doTest([createOrder(true, 5, 8)], [createRead(true, 2)], false);
	});
	test('finds a read that goes back after one that showed the order', () => {
		doTest([createOrder(true, 1, 20)], [createRead(true, 2), createRead(false, 6)], false);
		doTest([createOrder(true, 1, 20)], [createRead(true, 2, 8), createRead(false, 4, 6)], true);
	});
	test('finds an order that takes effect again after a later one was acknowledged', () => {
		const orders = [evacuation, createOrder(false, 4, 6), createOrder(true, 7, 9)];
		doTest(orders, [createRead(true, 10), createRead(false, 12)], false);
	});
	test('accepts an order that takes effect late if nothing overtook it, but not after it was overtaken', () => {
		const givenUp = createOrder(false, 4, 6, false);
		doTest([evacuation, givenUp], [createRead(true, 8), createRead(false, 12)], true);
		doTest([evacuation, givenUp, createOrder(true, 7, 9)], [createRead(false, 12)], false);
		doTest([evacuation, givenUp, createOrder(true, 5, 9)], [createRead(false, 12)], true);
		doTest([evacuation, givenUp, createOrder(true, 7, 9, false)], [createRead(false, 12)], true);
	});
	test('accepts an order that takes effect more than once while its sender sends it', () => {
		doTest([createOrder(true, 1, 20), createOrder(false, 4, 6)], [createRead(true, 2), createRead(false, 8), createRead(true, 12)], true);
	});
});
