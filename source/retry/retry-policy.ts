/** Decides whether a request may be retried after a failed attempt, or hedged during a slow one. */
import {type Verdict} from '../verdict/index.js';

/** Maximum attempts for one request, including hedges. */
export const maximumAttempts = 4;

/** A failed attempt. */
export type FailedAttempt = {
	readonly verdict: Verdict;
	readonly isIdempotent: boolean;
	/** Whether the body can be sent again. */
	readonly isRepeatable: boolean;
	readonly attempts: number;
	/** Maximum attempts that the route sets; the constant `maximumAttempts` by default. */
	readonly maximumAttempts?: number;
	readonly remainingMilliseconds: number;
	readonly isQuarantined: boolean;
};

/**
 * Checks whether a request may be retried, regardless of the budget.
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

/** Safe methods (RFC 9110, section 9.2.1). */
const safeMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
 * Checks whether a method is safe.
 * @param method - Method of a request, in upper case.
 */
export function isSafeMethod(method: string): boolean {
	return safeMethods.has(method);
}

/** A request that may be hedged. */
export type HedgeableRequest = {
	readonly method: string;
	readonly isIdempotent: boolean;
	readonly isRepeatable: boolean;
	/** Share of the service's requests that may have a second attempt. */
	readonly hedgeRatio: number;
};

/**
 * Checks whether a second attempt may run in parallel to the first. Idempotent methods that
 * are not safe are never hedged: the slower attempt could take effect after a later
 * request of the same caller.
 * @param request - The request.
 */
export function mayHedge(request: HedgeableRequest): boolean {
	return request.hedgeRatio > 0
		&& request.isIdempotent
		&& request.isRepeatable
		&& isSafeMethod(request.method);
}
