/**
 * Bounds how often servers are asked. Load pattern: when no server has room every request
 * asks twice as many, just when there are most requests; the bound on questions to a server
 * from all entries together must hold then, too. An entry has an even part of what all
 * servers may be asked, with a reserve for short bursts.
 */

/** Share of the permitted questions that is used, since entries learn late of others and of servers that are gone. */
const usedShare = 0.85;

/** Time for which an unused part is kept, in milliseconds. */
const reserveMilliseconds = 4000;

const millisecondsPerSecond = 1000;

/** Bounds questions. */
export type LoadQueryBudget = {
	/** Gets how many questions may be asked now, up to a wanted number; they count as asked. */
	take(wanted: number, now: number): number;
};

/** What the budget depends on. */
export type LoadQueryBudgetOptions = {
	/** Questions to one server in a second, from all entries. */
	readonly queriesPerServerPerSecond: number;
	getServerCount(): number;
	getEntryCount(): number;
};

/**
 * Creates a budget with a full reserve.
 * @param options - Bound, servers and entries.
 */
export function createLoadQueryBudget(options: LoadQueryBudgetOptions): LoadQueryBudget {
	let balance: number | undefined;
	let filledAt = 0;

	function getRate(): number {
		return options.queriesPerServerPerSecond * usedShare * options.getServerCount() / Math.max(1, options.getEntryCount()) / millisecondsPerSecond;
	}

	return {
		take(wanted, now) {
			const rate = getRate();
			const largest = rate * reserveMilliseconds;
			balance = Math.min(largest, balance === undefined ? largest : balance + ((now - filledAt) * rate));
			filledAt = now;
			// One question is always asked: without any the request could meet a server that is full.
			const taken = Math.max(1, Math.min(wanted, Math.floor(balance)));
			balance -= taken;
			return taken;
		},
	};
}
