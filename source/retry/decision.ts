/** Decides whether a failed attempt may be followed by another one. */
import {type Verdict} from '../verdict/index.js';

/** Attempts at most for one request, hedges included. */
export const maximumAttempts = 4;

/** A failed attempt. */
export type FailedAttempt = {
	readonly verdict: Verdict;
	readonly isIdempotent: boolean;
	/** Whether the body can be sent again. */
	readonly isRepeatable: boolean;
	readonly attempts: number;
	readonly remainingMilliseconds: number;
	readonly isQuarantined: boolean;
};

/**
 * Checks whether a request may be attempted again, apart from the budget.
 * @param attempt - The failed attempt.
 */
export function mayRetry(attempt: FailedAttempt): boolean {
	const isAllowed = attempt.verdict.kind === 'notRun' || (attempt.verdict.kind === 'mayHaveRun' && attempt.isIdempotent);
	return isAllowed
		&& attempt.isRepeatable
		&& !attempt.isQuarantined
		&& attempt.attempts < maximumAttempts
		&& attempt.remainingMilliseconds > 0;
}
