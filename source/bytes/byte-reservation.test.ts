import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createByteBudget} from './byte-budget.js';
import {createByteReservation} from './byte-reservation.js';

describe('createByteReservation', () => {
	test('reserves what is missing, and never less', () => {
		const budget = createByteBudget(100);
		const reservation = createByteReservation(budget);
		expect([reservation.tryGrowTo(40), reservation.tryGrowTo(60), reservation.tryGrowTo(10)]).toEqual([true, true, true]);
		expect(budget.getReservedBytes()).toEqual(60);
	});

	test('reserves nothing beyond the budget', () => {
		const budget = createByteBudget(100);
		const [one, other] = [createByteReservation(budget), createByteReservation(budget)];
		expect([one.tryGrowTo(70), other.tryGrowTo(40), other.tryGrowTo(30)]).toEqual([true, false, true]);
	});

	test('returns its bytes once, and reserves none afterwards', () => {
		const budget = createByteBudget(100);
		const reservation = createByteReservation(budget);
		reservation.tryGrowTo(70);
		reservation.release();
		reservation.release();
		expect([reservation.tryGrowTo(1), budget.getReservedBytes()]).toEqual([false, 0]);
	});
});
