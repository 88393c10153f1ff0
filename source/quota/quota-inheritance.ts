/**
 * What a new leader may lend while it does not know what entries have from earlier leaders. It may go by either of two rules.
 *
 * The first one needs no reports. Earlier leaders left at most `outstanding` tokens at entries, so the new one lends `debt` less than accrues, and
 * counts what entries may hold until the leases of earlier leaders have ended.
 *
 * The second one goes by what processes report. Whatever earlier leaders lent, at most `window` tokens were held then or spent within the last window. What
 * processes report of both is known; the rest counts as unknown. So the leader may lend what is spent and ages out of the window, which is as much as
 * entries have used before.
 */
import {type EarlierTokens, spendingStepMilliseconds} from './holder-report.js';
import {lendingMilliseconds, type QuotaLimits} from './quota-limits.js';
import {createRecentCount} from './recent-count.js';

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
	/** Tokens that unknown holders may hold. */
	let unknownHeld = hasPredecessor ? limits.outstanding : 0;
	/** Tokens that unknown holders may hold or have spent in the last window. */
	let unknown = hasPredecessor ? limits.window : 0;
	/** What was spent under the first and the second rule, beside what holders have reported since the start. */
	const assumed = createRecentCount(limits.windowMilliseconds);
	const inherited = createRecentCount(limits.windowMilliseconds);

	/** Counts as spent what unknown holders had, once their leases have ended. */
	function endLeases(now: number): void {
		if (now >= leasesEndAt) {
			assumed.add(now, unknownHeld);
			inherited.add(now, unknown);
			unknownHeld = 0;
			unknown = 0;
		}
	}

	/** Counts the spending of a holder from before its first report, and returns how much of it certainly lies in the window of every decision to come. */
	function countSpending(recent: readonly number[], counted: number, now: number): number {
		let skipped = counted;
		let certain = 0;
		for (const [step, amount] of recent.entries()) {
			const before = Math.max(0, amount - skipped);
			skipped -= amount - before;
			inherited.add(now - (step * spendingStepMilliseconds), before);
			const isCertain = ((step + 1) * spendingStepMilliseconds) + lendingMilliseconds <= limits.windowMilliseconds;
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

			unknownHeld = Math.max(0, unknownHeld - earlier.held);
			assumed.add(now, Math.max(0, earlier.held - heldAtFirst));
			const spent = countSpending(earlier.recent, counted, now);
			unknown = Math.max(0, unknown - Math.max(0, held + spent - lent));
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
			const first = Math.min(getAccrued(circumstances), limits.window - outstanding - unknownHeld - spent - assumed.get(now));
			const second = limits.window - outstanding - unknown - spent - inherited.get(now);
			return {held: limits.outstanding + headStart - outstanding - unknownHeld, window: Math.max(first, second)};
		},
		isUnknown: now => hasPredecessor && now < leasesEndAt,
		configure(next) {
			limits = next;
			unknownHeld = Math.min(unknownHeld, limits.outstanding);
			unknown = Math.min(unknown, limits.window);
		},
	};
}
