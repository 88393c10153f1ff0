/**
 * What a new leader may lend while it does not know what entries have from earlier leaders. It may go by either of two rules.
 *
 * The first one needs no reports. Earlier leaders left at most `outstanding` tokens at entries, so the new one lends `debt` less than accrues, and
 * counts what entries may hold until the leases of earlier leaders have ended.
 *
 * The second one goes by what processes report. Whatever earlier leaders lent, at most `window` tokens were held then or spent within the last window. What
 * processes report of both is known; the rest counts as unknown. Processes also report what earlier leaders told them of all holders, which leaves
 * little unknown.
 */
import {type EarlierTokens, type QuotaTotals, spendingStepMilliseconds} from './holder-report.js';
import {lendingMilliseconds, type QuotaLimits} from './quota-limits.js';
import {createRecentCount} from './recent-count.js';

const millisecondsPerSecond = 1000;

/** What the leader knows of a holder that reports what it has from earlier leaders. */
export type InheritedHolder = {
	/** Tokens that it holds. */
	readonly held: number;
	/** Tokens that it held when it first reported to this leader, and those that it has spent since. */
	readonly heldAtFirst: number;
	readonly counted: number;
	/** Tokens that this leader has lent to it. */
	readonly lent: number;
	readonly now: number;
};

/** What the leader knows of all holders. */
export type InheritanceCircumstances = {
	readonly outstanding: number;
	/** Tokens spent in the last window since the start of the leadership. */
	readonly spent: number;
	/** Tokens lent since then, less those given back. */
	readonly lent: number;
	readonly confirmedAt: number;
	readonly now: number;
};

/** Tokens that may be lent: within what entries may hold, and within what may run in a window. */
export type InheritanceRoom = {readonly held: number; readonly window: number};

/** Inheritance of one account. */
export type QuotaInheritance = {
	/** Learns what a holder has from earlier leaders; once for each. */
	learn(earlier: EarlierTokens, holder: InheritedHolder): void;
	getRoom(circumstances: InheritanceCircumstances): InheritanceRoom;
	/** Gets what is counted over all holders. */
	getTotals(circumstances: Pick<InheritanceCircumstances, 'outstanding' | 'spent' | 'now'>): QuotaTotals;
	/** Checks whether little may be lent because entries may hold tokens from earlier leaders. */
	isUnknown(now: number): boolean;
	configure(limits: QuotaLimits): void;
};

/** Options of `createQuotaInheritance`. */
export type QuotaInheritanceOptions = {
	readonly limits: QuotaLimits;
	/** Start of the leadership. */
	readonly startedAt: number;
	readonly termMilliseconds: number;
	/** Whether there may have been an earlier leader. */
	readonly hasPredecessor: boolean;
};

/**
 * Creates the inheritance of a new leader that has learned nothing.
 * @param options - Limits and start of the leadership.
 */
export function createQuotaInheritance(options: QuotaInheritanceOptions): QuotaInheritance {
	const {startedAt, termMilliseconds, hasPredecessor} = options;
	const leasesEndAt = startedAt + termMilliseconds;
	let {limits} = options;
	/** Tokens that holders had from earlier leaders, at most: held, and held or spent in the last window. */
	let totalHeld = hasPredecessor ? limits.outstanding : 0;
	let total = hasPredecessor ? limits.window : 0;
	/** The part of them that is known from reports. */
	let knownHeld = 0;
	let known = 0;
	/** What was spent under the first and the second rule, beside what holders have reported since the start. */
	const assumed = createRecentCount(limits.windowMilliseconds);
	const inherited = createRecentCount(limits.windowMilliseconds);

	/** Counts as spent what unknown holders had, once their leases have ended: what they held until now, and the rest before the first loan of this leader. */
	function endLeases(now: number): void {
		if (now >= leasesEndAt) {
			const held = Math.min(getUnknownHeld(), getUnknown());
			assumed.add(now, getUnknownHeld());
			inherited.add(now, held);
			inherited.add(startedAt + lendingMilliseconds, getUnknown() - held);
			totalHeld = 0;
			total = 0;
		}
	}

	function getUnknownHeld(): number {
		return Math.max(0, totalHeld - knownHeld);
	}

	function getUnknown(): number {
		return Math.max(0, total - known);
	}

	/** Applies what an earlier leader told of all holders. Since then, leaders have lent what it might lend at once and what accrued. */
	function limitTotals({age, requestsPerSecond, ...told}: NonNullable<EarlierTokens['told']>): void {
		const accrued = (age + lendingMilliseconds) * Math.max(limits.perMillisecond, requestsPerSecond / millisecondsPerSecond);
		totalHeld = Math.min(totalHeld, told.held + accrued);
		total = Math.min(total, told.total + accrued);
	}

	/**
	 * Counts the spending of a holder from before its first report. Returns how much of its spending certainly lies in the last window of the earlier
	 * leaders, in which `total` was counted.
	 */
	function countSpending(recent: readonly number[], counted: number, now: number): number {
		let skipped = counted;
		let certain = 0;
		for (const [step, amount] of recent.entries()) {
			const before = Math.max(0, amount - skipped);
			skipped -= amount - before;
			inherited.add(now - (step * spendingStepMilliseconds), before);
			const isCertain = ((step + 1) * spendingStepMilliseconds) + lendingMilliseconds <= limits.windowMilliseconds + now - startedAt;
			certain += isCertain ? amount : 0;
		}

		return certain;
	}

	/** Gets what accrued beyond the debt and was not lent. Only windows that begin before the leadership need it. */
	function getAccrued({confirmedAt, lent, now}: InheritanceCircumstances): number {
		return now > startedAt + limits.windowMilliseconds ? Number.POSITIVE_INFINITY : ((confirmedAt - startedAt) * limits.perMillisecond) - limits.debt - lent;
	}

	return {
		learn(earlier, {held, heldAtFirst, counted, lent, now}) {
			if (!hasPredecessor || now >= leasesEndAt) {
				return;
			}

			if (earlier.told !== undefined) {
				limitTotals(earlier.told);
			}

			knownHeld += earlier.held;
			assumed.add(now, Math.max(0, earlier.held - heldAtFirst));
			const spent = countSpending(earlier.recent, counted, now);
			known += Math.max(0, held + spent - lent);
		},
		getRoom(circumstances) {
			const {outstanding, spent, now} = circumstances;
			if (!hasPredecessor) {
				return {held: limits.outstanding - outstanding, window: limits.window - outstanding - spent};
			}

			endLeases(now);
			if (now < startedAt + lendingMilliseconds) {
				return {held: 0, window: 0};
			}

			const headStart = now < leasesEndAt ? limits.headStart : 0;
			const first = Math.min(getAccrued(circumstances), limits.window - outstanding - getUnknownHeld() - spent - assumed.get(now));
			const second = limits.window - outstanding - getUnknown() - spent - inherited.get(now);
			return {held: limits.outstanding + headStart - outstanding - getUnknownHeld(), window: Math.max(first, second)};
		},
		getTotals({outstanding, spent, now}) {
			endLeases(now);
			return {total: outstanding + getUnknown() + spent + inherited.get(now), held: outstanding + getUnknownHeld()};
		},
		isUnknown: now => hasPredecessor && now < leasesEndAt,
		configure(next) {
			limits = next;
		},
	};
}
