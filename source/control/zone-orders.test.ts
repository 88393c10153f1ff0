import {describe, test} from 'node:test';
import {expect} from 'earl';
import {getStoredCopy} from '../../stand-in/stored-copy.js';
import {createZoneOrders, type ZoneOrders, type ZoneOrdersSnapshot} from './zone-orders.js';

// Guards against an order that is carried out although a later one for its zone was acknowledged.
describe('createZoneOrders', () => {
	function createFrom(directions: ReadonlyArray<'out' | 'in'>): ZoneOrders {
		const orders = createZoneOrders();
		for (const [index, direction] of directions.entries()) {
			orders.apply({zone: 'south', isOut: direction === 'out'}, 10 + index);
		}

		return orders;
	}

	function restore(snapshot: ZoneOrdersSnapshot): ZoneOrders {
		const orders = createZoneOrders();
		orders.restore(getStoredCopy(snapshot));
		return orders;
	}

	test('counts an order that changes nothing', () => {
		const orders = createFrom(['out', 'out']);
		expect([orders.isOrderedSince('south', 10), orders.isOrderedSince('south', 11), orders.isOrderedSince('west', 0)]).toEqual([true, false, false]);
	});

	describe('mayBeOvertaken', () => {
		function doTest(directions: ReadonlyArray<'out' | 'in'>, isOut: boolean, expected: boolean): void {
			const orders = createFrom(directions);
			expect([orders, restore(orders.takeSnapshot())].map(each => each.mayBeOvertaken({zone: 'south', isOut}))).toEqual([expected, expected]);
		}

		test('is true for the first order that puts a zone back', () => {
			doTest(['out'], false, true);
		});
		test('is true where the zone was put back before', () => {
			doTest(['out', 'in', 'out'], false, true);
		});
		test('is true where the zone was ordered out twice', () => {
			doTest(['out', 'out'], false, true);
		});
		test('is true for an order that takes a zone out again', () => {
			doTest(['out', 'in'], true, true);
		});
		test('is false for the first order that takes a zone out, and for orders that change nothing', () => {
			doTest([], true, false);
			doTest(['in'], true, false);
			doTest([], false, false);
			doTest(['out', 'in', 'out'], true, false);
			doTest(['out', 'in'], false, false);
		});
		test('is true after a snapshot that names no index at all', () => {
			const orders = restore({zonesOut: ['south']});
			expect([orders, restore(orders.takeSnapshot())].map(each => each.mayBeOvertaken({zone: 'south', isOut: false}))).toEqual([true, true]);
			orders.apply({zone: 'south', isOut: true}, 50);
			expect([orders, restore(orders.takeSnapshot())].map(each => each.mayBeOvertaken({zone: 'south', isOut: false}))).toEqual([true, true]);
		});
		test('is true after a snapshot that does not name the orders of each zone', () => {
			const orders = restore({zonesOut: ['south'], zonesRevision: 7});
			expect([orders.mayBeOvertaken({zone: 'south', isOut: false}), orders.isOrderedSince('south', 6), orders.isOrderedSince('south', 7)]).toEqual([true, true, false]);
			orders.apply({zone: 'west', isOut: true}, 8);
			expect([orders, restore(orders.takeSnapshot())].map(each => each.mayBeOvertaken({zone: 'west', isOut: false}))).toEqual([true, true]);
		});
	});
});
