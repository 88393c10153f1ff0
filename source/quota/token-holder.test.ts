import {describe, test} from 'node:test';
import {expect} from 'earl';
import {type HolderGrant} from './quota-token.js';
import {createTokenHolder, type TokenHolder} from './token-holder.js';

function createGrant(epoch: number, granted: number, changes: Partial<HolderGrant> = {}): HolderGrant {
	return {
		epoch, granted, totals: {total: granted, held: granted}, askedAt: 0, retryMilliseconds: 0, ...changes,
	};
}

function createHolder(granted: number): TokenHolder {
	const holder = createTokenHolder();
	holder.apply(createGrant(1, granted), 0);
	return holder;
}

/** Sends a report, which the leader of an epoch receives. */
function report(holder: TokenHolder, epoch: number, now: number): ReturnType<TokenHolder['getReport']> {
	const sent = holder.getReport(now, 0);
	holder.acknowledge(epoch, holder.recordSent(sent));
	return sent;
}

// Guards against tokens that run more than one request, or none.
describe('createTokenHolder', () => {
	test('counts a token as spent once its request has ended and may have run', () => {
		const holder = createHolder(2);
		const [first, second] = [holder.tryTake(0)!, holder.tryTake(0)!];
		expect([holder.tryTake(0), first.tryUse(0), holder.getReport(0, 0).spent]).toEqual([undefined, true, 0]);
		first.end(true, 1);
		first.end(true, 2);
		second.end(false, 2);
		expect([holder.getReport(2, 1).spent, holder.getHeld()]).toEqual([1, 1]);
	});
	test('lets no request start with a token that was revoked while it waited, and lets those repeat that have started', () => {
		const holder = createHolder(2);
		const [started, waiting] = [holder.tryTake(0)!, holder.tryTake(0)!];
		expect(started.tryUse(0)).toEqual(true);
		holder.revoke();
		expect([started.tryUse(1), waiting.tryUse(1), waiting.isValid(1), holder.getHeld()]).toEqual([true, false, false, 0]);
		started.end(true, 2);
		waiting.end(false, 2);
		expect(holder.getHeld()).toEqual(0);
	});
	test('takes the largest number of a leader, and the first one of a new leader', () => {
		const holder = createHolder(5);
		holder.apply(createGrant(1, 3), 0);
		expect(holder.getHeld()).toEqual(5);
		holder.apply(createGrant(2, 4), 0);
		expect(holder.getHeld()).toEqual(4);
		holder.apply(createGrant(1, 9), 0);
		expect(holder.getHeld()).toEqual(4);
	});
	test('gives back what no request has wanted for a while', () => {
		const holder = createHolder(5);
		holder.recordDemand(0);
		const {granted, goal, unused} = holder.getReport(100, 0);
		expect([granted, goal, unused]).toEqual([5, 5, 3]);
		expect(holder.getReport(11_000, 0).unused).toEqual(5);
	});
	test('reports once what it has from an earlier leader', () => {
		const holder = createHolder(4);
		holder.recordDemand(0);
		report(holder, 1, 0);
		holder.tryTake(0)!.end(true, 600);
		holder.beginEpoch(2, 3000);
		expect(report(holder, 2, 700).earlier).toEqual({
			held: 4 - holder.getReport(700, 0).unused, recent: [1], told: {
				total: 4, held: 4, age: 700, requestsPerSecond: 0,
			},
		});
		expect(holder.isReportDue(holder.getReport(700, 0))).toEqual(false);
	});
	test('ends with their lease the tokens that a new leader does not know of', () => {
		const holder = createHolder(2);
		holder.beginEpoch(2, 3000);
		const token = holder.tryTake(2000)!;
		expect([token.isValid(2999), token.isValid(3000), holder.tryTake(3000)]).toEqual([true, false, undefined]);
	});
	test('does not ask while the quota is used up, at most for half a second', () => {
		const holder = createHolder(0);
		holder.apply(createGrant(1, 0, {retryMilliseconds: 2000}), 100);
		expect([holder.mayAsk(500), holder.mayAsk(600), holder.getUsedUpUntil()]).toEqual([false, true, 2100]);
		holder.apply(createGrant(1, 1), 600);
		expect(holder.mayAsk(600)).toEqual(true);
	});
});
