import {describe, test} from 'node:test';
import {expect} from 'earl';
import {
	decideHedge, type HedgeDecision, type HedgeObstacle, type HedgeSituation,
} from './index.js';

const situation: HedgeSituation = {
	elapsedMilliseconds: 150, times: {
		first: 100, certain: 200, overdue: 400, interval: 20,
	}, waitingRequests: 0, shortage: 0, congestedShare: 0.2, isLinkBusy: false, tokens: 2, isWithinBudget: true,
};

describe('decideHedge', () => {
	function doTest(changes: Partial<HedgeSituation>, expected: Exclude<HedgeDecision['kind'], 'withhold'> | HedgeObstacle): void {
		const decision = decideHedge({...situation, ...changes});
		expect(decision.kind === 'withhold' ? decision.obstacle : decision.kind).toEqual(expected);
	}

	test('waits until the attempt is late', () => {
		doTest({elapsedMilliseconds: 99}, 'wait');
	});
	test('asks the server of an attempt that is late', () => {
		doTest({}, 'ask');
	});
	test('spends tokens that would be lost without a question', () => {
		doTest({tokens: 2.99}, 'ask');
		doTest({tokens: 3}, 'send');
		doTest({tokens: 3, elapsedMilliseconds: 99}, 'wait');
	});
	test('hedges an attempt that is certainly late without a question', () => {
		doTest({elapsedMilliseconds: 200}, 'send');
	});
	test('never hedges while requests wait, however late the attempt is', () => {
		doTest({waitingRequests: 1, elapsedMilliseconds: 1000}, 'waiting');
	});
	test('never hedges in a shortage, however late the attempt is', () => {
		doTest({shortage: 0.01, elapsedMilliseconds: 1000}, 'shortage');
	});
	test('never hedges a large response on a busy link', () => {
		doTest({isLinkBusy: true, elapsedMilliseconds: 1000}, 'link-busy');
	});
	test('hedges only lost attempts while many servers are congested', () => {
		doTest({congestedShare: 0.5}, 'congested');
		doTest({congestedShare: 0.5, elapsedMilliseconds: 399}, 'congested');
		doTest({congestedShare: 0.5, elapsedMilliseconds: 400}, 'send');
	});
	test('keeps a token for attempts that are certainly late', () => {
		doTest({tokens: 1.9}, 'ratio');
		doTest({tokens: 1.9, elapsedMilliseconds: 200}, 'send');
		doTest({tokens: 0.9, elapsedMilliseconds: 1000}, 'ratio');
	});
	test('leaves the reserve to retries', () => {
		doTest({isWithinBudget: false, elapsedMilliseconds: 1000}, 'reserve');
	});
});
