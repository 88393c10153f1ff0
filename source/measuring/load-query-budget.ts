/**
 * Limits the rate of load queries. Each entry has an even share of the queries that all servers allow, with a token bucket for
 * short bursts, so that the limit on the queries to a server holds over all entries. It must also hold at peak load, when no
 * server has room and every request therefore queries twice as many servers.
 */

/** Share of the allowed queries that is used, since entries receive changes of other entries and of servers with a delay. */
const usableShare = 0.85;

/** Time over which unused queries accumulate, in milliseconds. */
const burstMilliseconds = 4000;

const millisecondsPerSecond = 1000;

/** Limit on the rate of load queries of an entry. */
export type LoadQueryBudget = {
	/** Withdraws up to the requested number of queries from the budget and gets the number that may be sent now. */
	take(requested: number, now: number): number;
	/** Returns queries that were taken and not sent. */
	giveBack(count: number): void;
};

/** Options of a load query budget. */
export type LoadQueryBudgetOptions = {
	/** Maximum queries to one server a second, from all entries together. */
	readonly queriesPerServerPerSecond: number;
	getServerCount(): number;
	getEntryCount(): number;
};

/**
 * Creates a budget with its maximum balance.
 * @param options - Limit and numbers of servers and entries.
 */
export function createLoadQueryBudget(options: LoadQueryBudgetOptions): LoadQueryBudget {
	let balance: number | undefined;
	let refilledAt = 0;

	function getQueriesPerMillisecond(): number {
		return options.queriesPerServerPerSecond * usableShare * options.getServerCount() / Math.max(1, options.getEntryCount()) / millisecondsPerSecond;
	}

	return {
		take(requested, now) {
			const rate = getQueriesPerMillisecond();
			const maximumBalance = rate * burstMilliseconds;
			balance = Math.min(maximumBalance, balance === undefined ? maximumBalance : balance + ((now - refilledAt) * rate));
			refilledAt = now;
			// At least one query is always allowed: without any, the request could be sent to a full server.
			const taken = Math.max(1, Math.min(requested, Math.floor(balance)));
			balance -= taken;
			return taken;
		},
		giveBack(count) {
			balance = (balance ?? 0) + count;
		},
	};
}
