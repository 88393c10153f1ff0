import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createQuotaAccount, type QuotaAccount} from './quota-account.js';
import {type QuotaExchange} from './quota-exchange.js';
import {getQuotaLimits, type Quota} from './quota-limits.js';

const termMilliseconds = 3000;
const tolerance = {windowSeconds: 5, overshoot: 0.1, slack: 20};
const quota: Quota = {requestsPerSecond: 10, burst: 10};
const strict = {windowSeconds: 5, overshoot: 0, slack: 0};

type Scene = {readonly hasPredecessor?: boolean; readonly quota?: Quota; readonly tolerance?: typeof tolerance};

/** Creates an account at time 0, whose holders keep their leases until a time. */
function createAccount(scene: Scene = {}, expiresAt = Number.POSITIVE_INFINITY): QuotaAccount {
	return createQuotaAccount({
		limits: getQuotaLimits(scene.quota ?? quota, scene.tolerance ?? tolerance), startedAt: 0, termMilliseconds, hasPredecessor: scene.hasPredecessor ?? false, getExpiry: () => expiresAt,
	});
}

/** Asks for tokens for requests that wait, and gets how many were ever lent. */
function ask(account: QuotaAccount, holder: string, waiting: number, changes: Partial<QuotaExchange> & {readonly granted?: number; readonly spent?: number; readonly unused?: number} = {}): number {
	const {granted = 0, spent = 0, unused = 0, ...rest} = changes;
	const loan = account.exchange({
		holder, report: {
			granted, spent, unused, goal: granted + waiting,
		}, waiting, now: 0, confirmedAt: rest.now ?? 0, ...rest,
	});
	return loan!.granted;
}

// Guards against tokens that are lent beyond the quota.
describe('createQuotaAccount', () => {
	const {bucket, outstanding, window} = getQuotaLimits(quota, tolerance);

	test('lends what is in the bucket, and as much again for the same question', () => {
		const account = createAccount();
		expect([ask(account, 'one', 4), ask(account, 'one', 4), ask(account, 'one', 4), account.getOutstanding()]).toEqual([4, 4, 4, 4]);
		expect(ask(account, 'two', 1000)).toEqual(Math.floor(bucket) - 4);
	});
	test('lends only what accrued while the leadership was confirmed', () => {
		const account = createAccount();
		ask(account, 'one', 1000);
		const granted = Math.floor(bucket);
		expect(ask(account, 'one', 1000, {
			granted, spent: granted, now: 1000, confirmedAt: 500,
		}) - granted).toEqual(5);
	});
	test('lends no more than entries may hold at once', () => {
		const account = createAccount({quota: {requestsPerSecond: 100, burst: 500}});
		const limits = getQuotaLimits({requestsPerSecond: 100, burst: 500}, tolerance);
		expect(ask(account, 'one', 10_000)).toEqual(Math.floor(limits.outstanding));
	});
	test('lends no more in a window than may run in it', () => {
		const account = createAccount();
		let granted = 0;
		for (let now = 0; now < tolerance.windowSeconds * 1000; now += 10) {
			granted = ask(account, 'one', 1000, {granted, spent: granted, now});
		}

		expect(granted > window - outstanding && granted <= window).toEqual(true);
	});
	test('counts tokens of a lost holder until its lease has ended, and as spent for a window then', () => {
		const account = createAccount({tolerance: strict, quota: {requestsPerSecond: 10, burst: 0}}, termMilliseconds);
		const limits = getQuotaLimits({requestsPerSecond: 10, burst: 0}, strict);
		expect(ask(account, 'lost', 1, {now: 100})).toEqual(1);
		expect([account.getOutstanding(), limits.window]).toEqual([1, 50]);
		ask(account, 'one', 0, {now: termMilliseconds - 1});
		expect(account.getOutstanding()).toEqual(1);
		const {totals} = account.exchange({
			holder: 'one', report: {
				granted: 0, spent: 0, unused: 0, goal: 0,
			}, now: termMilliseconds + 200, confirmedAt: 0,
		})!;
		expect([account.getOutstanding(), totals.held, totals.total]).toEqual([0, 1, 2]);
	});
	test('puts back what was given back unused, once', () => {
		const account = createAccount();
		const granted = ask(account, 'one', Math.floor(bucket));
		expect(ask(account, 'two', 1)).toEqual(0);
		ask(account, 'one', 0, {granted, spent: 3, unused: 3});
		ask(account, 'one', 0, {granted, spent: 3, unused: 3});
		expect(ask(account, 'two', 5)).toEqual(3);
	});
	test('tells when a token is likely to be available, if the quota is used up', () => {
		const account = createAccount();
		ask(account, 'one', 1000);
		const {retryMilliseconds} = account.exchange({
			holder: 'two', report: {
				granted: 0, spent: 0, unused: 0, goal: 1,
			}, waiting: 1, now: 0, confirmedAt: 0,
		})!;
		expect(retryMilliseconds).toEqual(5000);
	});
	test('lends to those who hold less than their share, when more is wanted than the quota allows', () => {
		const account = createAccount();
		const granted = ask(account, 'one', 1000);
		expect([ask(account, 'one', 1000, {granted, now: 100}) - granted, ask(account, 'two', 1000, {now: 100})]).toEqual([0, 1]);
	});
	test('lends nothing at first as a new leader, and no more than accrues beyond its debt if it learns nothing', () => {
		const account = createAccount({hasPredecessor: true});
		const {debt, headStart} = getQuotaLimits(quota, tolerance);
		expect(ask(account, 'one', 1000, {now: 100})).toEqual(0);
		expect(ask(account, 'one', 1000, {now: debt * 100})).toEqual(0);
		expect(ask(account, 'one', 1000, {now: (debt * 100) + 1000}) <= headStart).toEqual(true);
	});
	test('lends at once as a new leader what an earlier one told to be left', () => {
		const account = createAccount({hasPredecessor: true});
		const report = {
			granted: 10, spent: 5, unused: 0, goal: 12, earlier: {
				held: 5, recent: [5], told: {
					total: 10, held: 5, age: 100, requestsPerSecond: 10,
				},
			},
		};
		expect(account.exchange({
			holder: 'one', report, waiting: 2, now: 300, confirmedAt: 300,
		})!.granted).toEqual(12);
	});
	test('clamps the bucket when the quota is lowered', () => {
		const account = createAccount();
		const lowered = getQuotaLimits({requestsPerSecond: 1, burst: 1}, tolerance);
		account.configure(lowered);
		expect(ask(account, 'one', 1000)).toEqual(Math.floor(lowered.bucket));
	});
});
