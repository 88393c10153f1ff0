import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../randomness/index.js';
import {mayHaveRun, notRun, type Verdict} from '../verdict/index.js';
import {
	createAttemptBudget, createHedgeDelay, getRetryObstacle, mayHedge, type FailedAttempt, type HedgeableRequest, type RetryObstacle,
} from './index.js';

describe('getRetryObstacle', () => {
	function doTest(verdict: Verdict, changes: Partial<FailedAttempt>, expected: RetryObstacle | undefined): void {
		expect(getRetryObstacle({
			verdict, isIdempotent: false, isRepeatable: true, attempts: 1, remainingMilliseconds: 100, isQuarantined: false, ...changes,
		})).toEqual(expected);
	}

	test('retries a request that was not run', () => {
		doTest(notRun('unreachable'), {}, undefined);
	});
	test('never retries a non-idempotent request that may have run', () => {
		doTest(mayHaveRun('connection-lost'), {}, 'may-have-run');
	});
	test('retries an idempotent request that may have run', () => {
		doTest(mayHaveRun('connection-lost'), {isIdempotent: true}, undefined);
	});
	test('never retries a request whose body cannot be sent again', () => {
		doTest(notRun('unreachable'), {isRepeatable: false}, 'body-streamed');
	});
	test('never retries after four attempts', () => {
		doTest(notRun('unreachable'), {attempts: 4}, 'attempts');
	});
	test('never retries at the deadline', () => {
		doTest(notRun('unreachable'), {remainingMilliseconds: 0}, 'deadline');
	});
	test('never retries a quarantined request', () => {
		doTest(notRun('unreachable'), {isQuarantined: true}, 'quarantined');
	});
});

describe('mayHedge', () => {
	function doTest(method: string, changes: Partial<HedgeableRequest>, expected: boolean): void {
		expect(mayHedge({
			method, isIdempotent: true, isRepeatable: true, hedgeRatio: 0.05, ...changes,
		})).toEqual(expected);
	}

	test('allows a safe method', () => {
		doTest('GET', {}, true);
	});
	test('never allows an idempotent method that is not safe, whose slower attempt could undo a later request', () => {
		doTest('PUT', {}, false);
		doTest('DELETE', {}, false);
	});
	test('never allows a method that the service does not declare idempotent', () => {
		doTest('GET', {isIdempotent: false}, false);
	});
	test('never allows a request whose body cannot be sent again', () => {
		doTest('GET', {isRepeatable: false}, false);
	});
	test('never allows a request without a budget', () => {
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

	test('limits extra attempts to the initial balance and a share of the requests', () => {
		doTest(0.125, 800, 102);
	});
	test('allows only the initial balance with a share of zero', () => {
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

	test('tracks the 95th percentile', () => {
		doTest(0.95, 95);
	});
	test('tracks the median', () => {
		doTest(0.5, 50);
	});
	test('is never shorter than the minimum', () => {
		doTest(0.5, 200, 200);
	});
});
