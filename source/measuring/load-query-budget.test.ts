import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createLoadQueryBudget} from './load-query-budget.js';

describe('createQuestionBudget: many requests while no server has room', () => {
	/** Lets every entry ask six servers for each of its requests, and gets the questions to a server in a second. */
	function doTest(entries: number, servers: number, requestsPerSecond: number, expected: (rate: number) => boolean): void {
		const seconds = 30;
		const budget = createLoadQueryBudget({queriesPerServerPerSecond: 60, getServerCount: () => servers, getEntryCount: () => entries});
		let asked = 0;
		for (let request = 0; request < requestsPerSecond * seconds; request++) {
			asked += budget.take(6, request * 1000 / requestsPerSecond);
		}

		expect(expected(asked * entries / servers / seconds)).toEqual(true);
	}

	test('stays within 60 questions to a server and second', () => {
		doTest(19, 36, 40, rate => rate <= 60);
		doTest(12, 24, 60, rate => rate <= 60);
	});
	test('asks as many as are wanted while that is far from the bound', () => {
		doTest(19, 36, 10, rate => Math.abs(rate - (10 * 6 * 19 / 36)) < 0.01);
	});
});
