/**
 * The leader's account of the quota of one workspace. It lends tokens to processes of entries, each of which lets one request run. What is held
 * and what was spent lately never exceeds what may run in a window; see `getQuotaLimits`. Tokens of a process that is lost count as held until its
 * lease has ended, and as spent then. Until the leases of an earlier leader have ended, a new one counts what entries may hold from it: the most
 * that it may have lent, less what entries report to hold.
 */
import {createConfirmedBucket} from './confirmed-bucket.js';
import {createHolderShares, type HolderShares} from './holder-shares.js';
import {type EarlierTokens, type HolderReport, type QuotaTotals} from './holder-report.js';
import {type QuotaExchange, type QuotaLoan} from './quota-exchange.js';
import {
	createQuotaHoldings, getHeld, getWanted, type Holding,
} from './quota-holdings.js';
import {createQuotaInheritance} from './quota-inheritance.js';
import {type QuotaLimits} from './quota-limits.js';
import {createRecentCount} from './recent-count.js';

const millisecondsPerSecond = 1000;

/** Tokens of the bucket that are only lent to requests that wait, and the largest share of it, unless the workspace sends more than its quota. */
const waitingReserve = 10;
const maximumWaitingReserveShare = 0.6;

/** Share of the bucket that an entry with its share of the tokens may take only while no other lacks any. */
const scarceBucketShare = 0.25;

/** Time in milliseconds for which tokens count as scarce after a request found none. */
const scarcityMilliseconds = 1000;

/** Time in milliseconds for which a division among the holders is used, since each takes all of them. */
const divisionMilliseconds = 200;

/** Time for which use is measured. */
const useMilliseconds = 2000;

/** Error of sums of fractions, which must not make a whole token less than one. */
const roundingError = 1e-6;

/** Shortest and longest time that refused callers are told to wait. */
const minimumRetryMilliseconds = 50;
const maximumRetryMilliseconds = 5000;

/** Account of one workspace. */
export type QuotaAccount = {
	/** Applies a report and lends what is wanted and available. Returns undefined for a holder without a record that reports nothing. */
	exchange(exchange: QuotaExchange): QuotaLoan | undefined;
	/** Checks whether a holder wants more tokens than it has. */
	isWanting(holder: string): boolean;
	/** Applies a changed quota. */
	configure(limits: QuotaLimits): void;
	/** Gets the number of tokens that entries hold, as far as they have reported. */
	getOutstanding(): number;
	/** Gets the requests per second of the last two seconds. */
	getUse(now: number): number;
};

/** Options of `createQuotaAccount`. */
export type QuotaAccountOptions = {
	readonly limits: QuotaLimits;
	/** Start of the leadership. */
	readonly startedAt: number;
	readonly termMilliseconds: number;
	/** Whether entries may hold tokens from an earlier leader. */
	readonly hasPredecessor: boolean;
	/** Gets the time at which the lease of a holder ends. */
	getExpiry(holder: string): number;
};

/** Limits within which tokens are lent. */
type RoomLimits = {readonly maximum: number; readonly reserve: number};

/**
 * Creates an account without holders.
 * @param options - Limits and start of the leadership.
 */
export function createQuotaAccount(options: QuotaAccountOptions): QuotaAccount {
	const {startedAt, termMilliseconds, hasPredecessor, getExpiry} = options;
	const holdings = createQuotaHoldings(getExpiry);
	const use = createRecentCount(useMilliseconds);
	const refusals = createRecentCount(millisecondsPerSecond);
	let {limits} = options;
	/** Tokens spent since the start, as far as holders have reported. */
	let spent = createRecentCount(limits.windowMilliseconds);
	const bucket = createConfirmedBucket({
		perMillisecond: limits.perMillisecond, capacity: limits.bucket, startedAt, level: hasPredecessor ? 0 : limits.bucket,
	});
	const inheritance = createQuotaInheritance({
		limits, startedAt, termMilliseconds, hasPredecessor,
	});
	/** Tokens lent since the start, less those given back. */
	let lent = 0;
	let confirmedAt = startedAt;
	let scarceUntil = Number.NEGATIVE_INFINITY;
	let shares: HolderShares | undefined;
	let dividedAt = Number.NEGATIVE_INFINITY;

	/** Applies what a holder has from earlier leaders. What it spent before its first report was not counted by this one. */
	function applyEarlier(holding: Holding, earlier: EarlierTokens, now: number): void {
		if (!holding.isEarlierKnown) {
			holding.isEarlierKnown = true;
			inheritance.learn(earlier, {...holding, held: getHeld(holding), now});
		}
	}

	function applyReport(holder: string, report: HolderReport, now: number): Holding {
		const {holding, used, givenBack} = holdings.apply(holder, report);
		bucket.putBack(givenBack);
		lent -= givenBack;
		spent.add(now, used);
		use.add(now, used);
		if (report.earlier !== undefined) {
			applyEarlier(holding, report.earlier, now);
		}

		return holding;
	}

	/** Gets how many tokens may be lent, while entries may hold a number of tokens and some stay in the bucket. */
	function getRoom(now: number, {maximum, reserve}: RoomLimits): number {
		const {held, window} = inheritance.getRoom({
			outstanding: holdings.getOutstanding(), spent: spent.get(now), lent, confirmedAt, now,
		});
		return Math.max(0, Math.floor(roundingError + Math.min(bucket.getUsable() - reserve, maximum - limits.outstanding + held, window)));
	}

	function getWholeRoom(): RoomLimits {
		return {maximum: limits.outstanding, reserve: 0};
	}

	function getRoomForUse(now: number): RoomLimits {
		return {maximum: limits.outstandingForUse, reserve: isOverused(now) ? 0 : Math.min(waitingReserve, limits.bucket * maximumWaitingReserveShare)};
	}

	/** Checks whether the quota itself allows nothing more, rather than what entries may hold at once. */
	function isUsedUp(now: number): boolean {
		return !inheritance.isUnknown(now) && getRoom(now, {maximum: Number.POSITIVE_INFINITY, reserve: 0}) === 0;
	}

	function getTotals(now: number): QuotaTotals {
		const {total, held} = inheritance.getTotals({outstanding: holdings.getOutstanding(), spent: spent.get(now), now});
		const level = Math.max(0, bucket.getLevel());
		return {total: Math.ceil(total + level), held: Math.ceil(held + level)};
	}

	/** Checks whether tokens are scarce because more requests arrive than the quota allows. */
	function isOverused(now: number): boolean {
		return now < scarceUntil && (use.get(now) / useMilliseconds) + (refusals.get(now) / millisecondsPerSecond) > limits.perMillisecond;
	}

	/** Gets the share of each holder: of what may be held for use to come, or of what is there while tokens are scarce. */
	function getShares(now: number): HolderShares {
		if (shares === undefined || now >= dividedAt + divisionMilliseconds) {
			const total = isOverused(now)
				? holdings.getOutstanding() + getRoom(now, getWholeRoom())
				: limits.outstandingForUse;
			shares = createHolderShares(holdings.getWanted(), total);
			dividedAt = now;
		}

		return shares;
	}

	/** Gets how many tokens a holder gets for use to come. */
	function getLoanForUse(holding: Holding, now: number): number {
		const share = Math.ceil(getShares(now).get(getWanted(holding)));
		return Math.max(0, Math.min(holding.goal - holding.granted, share - getHeld(holding), getRoom(now, getRoomForUse(now))));
	}

	/** Gets how many tokens a holder gets for requests that wait. */
	function getLoanForWaiting(holding: Holding, waiting: number, now: number): number {
		const room = getRoom(now, getWholeRoom());
		const isShareUsed = isOverused(now) && getHeld(holding) >= getShares(now).get(getWanted(holding));
		return isShareUsed && room < limits.bucket * scarceBucketShare ? 0 : Math.min(waiting, room);
	}

	function lend(holding: Holding, tokens: number): void {
		holdings.lend(holding, tokens);
		bucket.take(tokens);
		lent += tokens;
	}

	function getRetryMilliseconds(now: number): number {
		const missing = 1 + refusals.get(now) - bucket.getUsable();
		return Math.round(Math.min(maximumRetryMilliseconds, Math.max(minimumRetryMilliseconds, missing / limits.perMillisecond)));
	}

	/** Lends to requests that wait. The goal of the holder includes them. */
	function lendToWaiting(holding: Holding, waiting: number, now: number): void {
		const missing = Math.max(0, Math.min(waiting, holding.goal - holding.granted));
		const tokens = getLoanForWaiting(holding, missing, now);
		lend(holding, tokens);
		if (tokens < missing && (isOverused(now) || isUsedUp(now))) {
			refusals.add(now, missing - tokens);
			scarceUntil = now + scarcityMilliseconds;
			shares = undefined;
		}
	}

	return {
		exchange({holder, report, waiting = 0, refused = 0, isEnding = false, now, confirmedAt: nextConfirmedAt}) {
			confirmedAt = nextConfirmedAt;
			spent.add(now, holdings.removeEnded(now));
			bucket.advance(now, confirmedAt);
			const holding = report === undefined ? holdings.get(holder) : applyReport(holder, report, now);
			if (holding === undefined) {
				return undefined;
			}

			refusals.add(now, refused);
			const grantedBefore = holding.granted;
			lendToWaiting(holding, waiting, now);
			if (!isEnding) {
				lend(holding, getLoanForUse(holding, now));
			}

			const isRefused = holding.granted === grantedBefore && holding.goal > holding.granted && (isOverused(now) || (waiting > 0 && isUsedUp(now)));
			return {granted: holding.granted, totals: getTotals(now), retryMilliseconds: isRefused ? getRetryMilliseconds(now) : 0};
		},
		isWanting(holder) {
			const holding = holdings.get(holder);
			return holding !== undefined && holding.goal > holding.granted;
		},
		configure(next) {
			if (next.window < limits.window) {
				spent = createRecentCount(next.windowMilliseconds);
			}

			limits = next;
			inheritance.configure(limits);
			bucket.configure(limits.perMillisecond, limits.bucket);
			shares = undefined;
		},
		getOutstanding: holdings.getOutstanding,
		getUse: now => use.get(now) * millisecondsPerSecond / useMilliseconds,
	};
}
