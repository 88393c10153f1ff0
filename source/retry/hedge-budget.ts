/**
 * Budget of the hedges of one service: each request deposits the share of a token that operators set, and each hedge takes a
 * token and one attempt of the budget that retries use too.
 */
import {createAttemptBudget, type AttemptBudget} from './attempt-budget.js';

/** Tokens that an entry saves for a burst of slow responses; further deposits are lost. */
export const maximumHedgeTokens = 3;

/** Budget of hedges. */
export type HedgeBudget = {
	/** Deposits the share of one request. */
	deposit(): void;
	/** Gets the number of hedges that the ratio allows now. */
	getTokens(): number;
	/** Checks whether the shared budget allows a hedge. */
	isWithinSharedBudget(): boolean;
	/** Takes one hedge from both budgets, or nothing and returns false. */
	tryWithdraw(): boolean;
};

/**
 * Creates a budget without tokens.
 * @param getRatio - Gets the share of requests that may be hedged.
 * @param shared - Part of the hedges in the budget that all entries share, if there is one.
 */
export function createHedgeBudget(getRatio: () => number, shared: Pick<AttemptBudget, 'getBalance' | 'tryWithdraw'> | undefined): HedgeBudget {
	const own = createAttemptBudget(getRatio, 0, maximumHedgeTokens);
	return {
		deposit: own.deposit,
		getTokens: own.getBalance,
		isWithinSharedBudget: () => shared === undefined || shared.getBalance() >= 1,
		tryWithdraw: () => own.getBalance() >= 1 && shared?.tryWithdraw() !== false && own.tryWithdraw(),
	};
}
