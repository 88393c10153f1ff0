import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createLoadQueryBudget} from './load-query-budget.js';

describe('createLoadQueryBudget: many requests while no server has room', () => {
	/** Lets every entry query six servers for each of its requests, and checks the queries to a server in a second. */
	function doTest(entries: number, servers: number, requestsPerSecond: number, expected: (rate: number) => boolean): void {
		const seconds = 30;
		const budget = createLoadQueryBudget({queriesPerServerPerSecond: 60, getServerCount: () => servers, getEntryCount: () => entries});
		let queries = 0;
		for (let request = 0; request < requestsPerSecond * seconds; request++) {
			queries += budget.take(6, request * 1000 / requestsPerSecond);
		}

		expect(expected(queries * entries / servers / seconds)).toEqual(true);
	}

	test('allows at most 60 queries a second to a server', () => {
		doTest(19, 36, 40, rate => rate <= 60);
		doTest(12, 24, 60, rate => rate <= 60);
	});
	test('allows as many queries again as were given back', () => {
		const budget = createLoadQueryBudget({queriesPerServerPerSecond: 60, getServerCount: () => 1, getEntryCount: () => 60});
		expect([budget.take(10, 0), budget.take(10, 0)]).toEqual([3, 1]);
		budget.giveBack(3);
		expect(budget.take(10, 0)).toEqual(2);
	});
	test('allows all requested queries far below the limit', () => {
		doTest(19, 36, 10, rate => Math.abs(rate - (10 * 6 * 19 / 36)) < 0.01);
	});
});
