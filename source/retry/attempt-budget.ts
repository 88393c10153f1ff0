/**
 * A budget of extra attempts: each request earns a share of a token, each retry or
 * hedge spends one. Under overload extra attempts stay a fixed share of the load.
 */

const largestBalance = 100;

/** A budget of extra attempts. */
export type AttemptBudget = {
	/** Earns for one request. */
	deposit(): void;
	/** Spends one attempt; returns false when the budget is empty. */
	tryWithdraw(): boolean;
	getBalance(): number;
};

/**
 * Creates a budget.
 * @param getRatio - Gets the share of requests that may have an extra attempt.
 * @param initial - Attempts that may be spent before any request earned.
 * @param getLargest - Gets the largest balance.
 */
export function createAttemptBudget(getRatio: () => number, initial: number, getLargest: () => number = () => largestBalance): AttemptBudget {
	let balance = initial;
	return {
		deposit() {
			balance = Math.min(getLargest(), balance + getRatio());
		},
		tryWithdraw() {
			if (balance < 1) {
				return false;
			}

			balance--;
			return true;
		},
		getBalance: () => balance,
	};
}
