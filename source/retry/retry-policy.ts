/** Decides whether a request may have another attempt: after a failure, or beside one that takes long. */
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
	/** Attempts at most, where the route says; `maximumAttempts` otherwise. */
	readonly maximumAttempts?: number;
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
		&& attempt.attempts < (attempt.maximumAttempts ?? maximumAttempts)
		&& attempt.remainingMilliseconds > 0;
}

/** Methods that ask for nothing to change (RFC 9110, section 9.2.1). */
const safeMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/** A request that may be hedged. */
export type HedgeableRequest = {
	readonly method: string;
	readonly isIdempotent: boolean;
	readonly isRepeatable: boolean;
	/** Share of the service's requests that may have a second attempt. */
	readonly hedgeRatio: number;
};

/**
 * Checks whether a second attempt may run beside the first. An idempotent method that
 * changes something is left out: its slower attempt could take effect after a later
 * request of the same caller.
 * @param request - The request.
 */
export function mayHedge(request: HedgeableRequest): boolean {
	return request.hedgeRatio > 0
		&& request.isIdempotent
		&& request.isRepeatable
		&& safeMethods.has(request.method);
}
