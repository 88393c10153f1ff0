import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../randomness/index.js';
import {mayHaveRun, notRun, type Verdict} from '../verdict/index.js';
import {
	createAttemptBudget, createHedgeDelay, mayHedge, mayRetry, type FailedAttempt, type HedgeableRequest,
} from './index.js';

describe('mayRetry', () => {
	function doTest(verdict: Verdict, changes: Partial<FailedAttempt>, expected: boolean): void {
		expect(mayRetry({
			verdict, isIdempotent: false, isRepeatable: true, attempts: 1, remainingMilliseconds: 100, isQuarantined: false, ...changes,
		})).toEqual(expected);
	}

	test('repeats what was not run', () => {
		doTest(notRun('unreachable'), {}, true);
	});
	test('never repeats a non-idempotent request that may have run', () => {
		doTest(mayHaveRun('connection-lost'), {}, false);
	});
	test('repeats an idempotent request that may have run', () => {
		doTest(mayHaveRun('connection-lost'), {isIdempotent: true}, true);
	});
	test('never repeats a body that is gone', () => {
		doTest(notRun('unreachable'), {isRepeatable: false}, false);
	});
	test('ends after four attempts', () => {
		doTest(notRun('unreachable'), {attempts: 4}, false);
	});
	test('ends at the deadline', () => {
		doTest(notRun('unreachable'), {remainingMilliseconds: 0}, false);
	});
	test('ends when the request is quarantined', () => {
		doTest(notRun('unreachable'), {isQuarantined: true}, false);
	});
});

describe('mayHedge', () => {
	function doTest(method: string, changes: Partial<HedgeableRequest>, expected: boolean): void {
		expect(mayHedge({
			method, isIdempotent: true, isRepeatable: true, hedgeRatio: 0.05, ...changes,
		})).toEqual(expected);
	}

	test('allows a request that changes nothing', () => {
		doTest('GET', {}, true);
	});
	test('never allows an idempotent request that changes something, whose late attempt could undo a later one', () => {
		doTest('PUT', {}, false);
		doTest('DELETE', {}, false);
	});
	test('never allows a method that the service does not call idempotent', () => {
		doTest('GET', {isIdempotent: false}, false);
	});
	test('never allows a body that is gone', () => {
		doTest('GET', {isRepeatable: false}, false);
	});
	test('allows none without a budget', () => {
		doTest('GET', {hedgeRatio: 0}, false);
	});
});

describe('createAttemptBudget', () => {
	function doTest(ratio: number, requests: number, expected: number): void {
		const budget = createAttemptBudget(() => ratio, 2);
		let spent = 0;
		for (let request = 0; request < requests; request++) {
			budget.deposit();
			spent += budget.tryWithdraw() ? 1 : 0;
		}

		expect(spent).toEqual(expected);
	}

	test('keeps extra attempts to a share of the requests, beyond the first few', () => {
		doTest(0.125, 800, 102);
	});
	test('allows none beyond the first few without a share', () => {
		doTest(0, 800, 2);
	});
});

describe('createHedgeDelay', () => {
	function doTest(quantile: number, expected: number, shortest = 1): void {
		const random = createRandom(3);
		const delay = createHedgeDelay(quantile, 50, () => shortest);
		for (let sample = 0; sample < 20_000; sample++) {
			delay.record(random() * 100);
		}

		expect(Math.abs(delay.getMilliseconds() - expected) < 10).toEqual(true);
	}

	test('follows the 95th percentile', () => {
		doTest(0.95, 95);
	});
	test('follows the median', () => {
		doTest(0.5, 50);
	});
	test('is never shorter than the shortest', () => {
		doTest(0.5, 200, 200);
	});
});
