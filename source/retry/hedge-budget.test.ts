/** Checks under any order of requests, retries and hedges that hedges stay within their ratio, and all extra attempts within the shared budget. */
import {describe, test} from 'node:test';
import {expect} from 'earl';
import * as fc from 'fast-check';
import {createHedgeBudget, createSlackPart, maximumHedgeTokens} from './index.js';

const ratio = 0.2;
const hedgeRatio = 0.05;

/** Share of the ratio that entries use. */
const usedShare = 0.85;

/** Largest error of sums of shares. */
const rounding = 1e-9;

const windowMilliseconds = 10_000;
const retryReserveMilliseconds = 3000;
const runs = 300;

type Event = {readonly kind: 'request' | 'retry' | 'hedge'; readonly delayMilliseconds: number};
type Use = {readonly kind: Event['kind']; readonly at: number};

const events = fc.array(fc.record({
	kind: fc.constantFrom<Event['kind']>('request', 'request', 'request', 'request', 'retry', 'hedge', 'hedge'),
	delayMilliseconds: fc.oneof(fc.integer({min: 0, max: 50}), fc.integer({min: 0, max: 4000})),
}), {maxLength: 120});

/** Plays events, and returns the requests and the extra attempts that were allowed. */
function play(played: readonly Event[], part: number): readonly Use[] {
	let now = 0;
	const slackPart = createSlackPart({
		ratio, slack: 64, getTime: () => now, revokeIfNeeded() {
			// The lease is valid.
		},
	});
	slackPart.apply({part});
	const retries = slackPart.getBudget('stock');
	const hedges = createHedgeBudget(() => hedgeRatio, slackPart.getHedgeBudget('stock'));
	const uses: Use[] = [];
	for (const {kind, delayMilliseconds} of played) {
		now += delayMilliseconds;
		if (kind === 'request') {
			retries.deposit();
			hedges.deposit();
		}

		if (kind === 'request' || (kind === 'retry' ? retries : hedges).tryWithdraw()) {
			uses.push({kind, at: now});
		}
	}

	return uses;
}

function count(uses: readonly Use[], kind: Event['kind']): number {
	return uses.filter(use => use.kind === kind).length;
}

/** Gets all uses in a row that lie within a time. */
function getPeriods(uses: readonly Use[], milliseconds: number): ReadonlyArray<readonly Use[]> {
	return uses.flatMap(({at: startedAt}, from) => {
		const rest = uses.slice(from).filter(({at}) => at < startedAt + milliseconds);
		return rest.map((_, index) => rest.slice(0, index + 1));
	});
}

describe('createHedgeBudget with a part of the shared budget', () => {
	function doTest(check: (uses: readonly Use[], part: number) => boolean): void {
		fc.assert(fc.property(events, fc.double({min: 0, max: 6, noNaN: true}), (played, part) => check(play(played, part), part)), {seed: 61, numRuns: runs});
	}

	test('keeps hedges within their ratio in any period', () => {
		doTest(uses => getPeriods(uses, Number.POSITIVE_INFINITY).every(period => count(period, 'hedge') <= (hedgeRatio * count(period, 'request')) + maximumHedgeTokens + rounding));
	});
	test('keeps retries and hedges within the part in any ten seconds', () => {
		doTest((uses, part) => getPeriods(uses, windowMilliseconds).every(period => {
			const limit = (ratio * usedShare * count(period, 'request')) + Math.max(1, part);
			return count(period, 'hedge') + count(period, 'retry') <= limit + rounding;
		}));
	});
	test('takes no token when the shared budget refuses', () => {
		const budget = createHedgeBudget(() => 1, {getBalance: () => 0, tryWithdraw: () => false});
		budget.deposit();
		expect([budget.tryWithdraw(), budget.isWithinSharedBudget(), budget.getTokens()]).toEqual([false, false, 1]);
	});
	test('needs a whole token, and saves three', () => {
		const budget = createHedgeBudget(() => 0.5, undefined);
		budget.deposit();
		expect(budget.tryWithdraw()).toEqual(false);
		for (let request = 0; request < 100; request++) {
			budget.deposit();
		}

		expect([budget.getTokens(), budget.isWithinSharedBudget(), budget.tryWithdraw(), budget.getTokens()]).toEqual([maximumHedgeTokens, true, true, maximumHedgeTokens - 1]);
	});
});

describe('getHedgeBudget of createSlackPart', () => {
	/** Counts how many hedges and then retries a part allows at once, after the given time since a retry. */
	function doTest(part: number, sinceRetryMilliseconds: number | undefined, expected: {readonly hedges: number; readonly retries: number}): void {
		let now = 0;
		const slackPart = createSlackPart({
			ratio, slack: 64, getTime: () => now, revokeIfNeeded() {
				// The lease is valid.
			},
		});
		slackPart.apply({part});
		const retries = slackPart.getBudget('stock');
		if (sinceRetryMilliseconds !== undefined) {
			retries.tryWithdraw();
			for (let request = 0; request < 10; request++) {
				retries.deposit();
			}

			now = sinceRetryMilliseconds;
		}

		const hedges = slackPart.getHedgeBudget('stock');
		const allowed = {hedges: 0, retries: 0};
		while (hedges.tryWithdraw()) {
			allowed.hedges++;
		}

		while (retries.tryWithdraw()) {
			allowed.retries++;
		}

		expect(allowed).toEqual(expected);
	}

	test('uses half of a part at most', () => {
		doTest(8, undefined, {hedges: 4, retries: 4});
		doTest(2, undefined, {hedges: 1, retries: 1});
	});
	test('uses a part for one attempt only while no retry is needed', () => {
		doTest(0.4, undefined, {hedges: 1, retries: 0});
		doTest(0.4, retryReserveMilliseconds - 1, {hedges: 0, retries: 1});
		doTest(0.4, retryReserveMilliseconds, {hedges: 1, retries: 0});
		doTest(1.9, retryReserveMilliseconds - 1, {hedges: 0, retries: 1});
	});
	test('does not ask the leader for more when it is refused', () => {
		const slackPart = createSlackPart({
			ratio, slack: 64, getTime: () => 0, revokeIfNeeded() {
				// The lease is valid.
			},
		});
		const hedges = slackPart.getHedgeBudget('stock');
		expect([hedges.tryWithdraw(), hedges.tryWithdraw(), slackPart.getReport(0).wanted]).toEqual([true, false, 1]);
	});
});
