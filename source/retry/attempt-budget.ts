/**
 * Budget of extra attempts: each request deposits a fraction of a token, and each retry or
 * hedge withdraws one. Under overload, extra attempts therefore stay a fixed share of the load.
 */

const defaultMaximumBalance = 100;

/** Budget of extra attempts. */
export type AttemptBudget = {
	/** Deposits the share of one request. */
	deposit(): void;
	/** Withdraws one attempt; returns false if the balance is less than one. */
	tryWithdraw(): boolean;
	getBalance(): number;
};

/**
 * Creates a budget.
 * @param getRatio - Gets the share of requests that may have an extra attempt.
 * @param initial - Initial balance.
 * @param maximumBalance - Largest balance, which limits the extra attempts of a burst.
 */
export function createAttemptBudget(getRatio: () => number, initial: number, maximumBalance = defaultMaximumBalance): AttemptBudget {
	let balance = initial;
	return {
		deposit() {
			balance = Math.min(maximumBalance, balance + getRatio());
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
