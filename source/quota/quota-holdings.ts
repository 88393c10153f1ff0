/** What the holders of one workspace have, as far as they have reported to a leader. */
import {type HolderReport} from './holder-report.js';

/** Time in milliseconds between two searches for holders whose lease has ended. */
const sweepMilliseconds = 100;

/** Record of one holder. */
export type Holding = {
	granted: number;
	spent: number;
	unused: number;
	goal: number;
	/** Tokens that it held when it first reported. */
	readonly heldAtFirst: number;
	/** Tokens that it has spent since. */
	counted: number;
	/** Tokens that this leader has lent to it. */
	lent: number;
	/** Whether the leader knows what it has from earlier ones. */
	isEarlierKnown: boolean;
};

/** What a report changes. */
export type HoldingChange = {
	readonly holding: Holding;
	/** Tokens that were spent since the last report. */
	readonly used: number;
	/** Tokens that were given back unused. */
	readonly givenBack: number;
};

/** Records of all holders. */
export type QuotaHoldings = {
	get(holder: string): Holding | undefined;
	/** Applies a report. A report that is late or duplicated changes nothing but the goal. */
	apply(holder: string, report: HolderReport): HoldingChange;
	lend(holding: Holding, tokens: number): void;
	/** Removes the holders whose lease has ended, and returns the tokens that they held. */
	removeEnded(now: number): number;
	/** Gets the tokens that all hold. */
	getOutstanding(): number;
	/** Gets how many tokens each wants to hold. */
	getWanted(): readonly number[];
};

/**
 * Creates records of no holder.
 * @param getExpiry - Gets the time at which the lease of a holder ends.
 */
export function createQuotaHoldings(getExpiry: (holder: string) => number): QuotaHoldings {
	const holdings = new Map<string, Holding>();
	let outstanding = 0;
	let sweptAt = Number.NEGATIVE_INFINITY;

	function add(holder: string, {granted, spent, unused, goal}: HolderReport): Holding {
		const holding: Holding = {
			granted, spent, unused, goal, heldAtFirst: Math.max(0, granted - spent), counted: 0, lent: 0, isEarlierKnown: false,
		};
		holdings.set(holder, holding);
		outstanding += holding.heldAtFirst;
		return holding;
	}

	return {
		get: holder => holdings.get(holder),
		apply(holder, report) {
			const holding = holdings.get(holder) ?? add(holder, report);
			const heldBefore = getHeld(holding);
			const unused = Math.max(0, report.unused - holding.unused);
			const used = Math.max(0, report.spent - holding.spent - unused);
			holding.spent = Math.max(holding.spent, report.spent);
			holding.unused = Math.max(holding.unused, report.unused);
			holding.goal = report.goal;
			holding.counted += used;
			const returned = heldBefore - getHeld(holding);
			outstanding -= returned;
			return {holding, used, givenBack: Math.min(unused, returned)};
		},
		lend(holding, tokens) {
			const heldBefore = getHeld(holding);
			holding.granted += tokens;
			holding.lent += tokens;
			outstanding += getHeld(holding) - heldBefore;
		},
		removeEnded(now) {
			if (now < sweptAt + sweepMilliseconds) {
				return 0;
			}

			sweptAt = now;
			const before = outstanding;
			for (const [holder, holding] of holdings) {
				if (getExpiry(holder) <= now) {
					outstanding -= getHeld(holding);
					holdings.delete(holder);
				}
			}

			return before - outstanding;
		},
		getOutstanding: () => outstanding,
		getWanted: () => [...holdings.values()].map(holding => getWanted(holding)),
	};
}

/**
 * Gets the tokens that a holder may have. One that was lent more by an earlier leader than it reported may have spent more than it was lent.
 * @param holding - Record of the holder.
 */
export function getHeld({granted, spent}: Holding): number {
	return Math.max(0, granted - spent);
}

/**
 * Gets how many tokens a holder wants to have.
 * @param holding - Record of the holder.
 */
export function getWanted({goal, spent}: Holding): number {
	return Math.max(0, goal - spent);
}
