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

/** Reason not to retry a request, regardless of the budget; `body-streamed` means that its body cannot be sent again. */
export type RetryObstacle = 'attempts' | 'body-streamed' | 'deadline' | 'may-have-run' | 'quarantined';

/**
 * Gets the reason not to retry a request after a failed attempt, or undefined if it may be retried.
 * @param attempt - The failed attempt.
 */
export function getRetryObstacle(attempt: FailedAttempt): RetryObstacle | undefined {
	if (attempt.isQuarantined) {
		return 'quarantined';
	}

	if (attempt.remainingMilliseconds <= 0) {
		return 'deadline';
	}

	if (attempt.attempts >= (attempt.maximumAttempts ?? maximumAttempts)) {
		return 'attempts';
	}

	const isAllowed = attempt.verdict.kind === 'notRun' || (attempt.verdict.kind === 'mayHaveRun' && attempt.isIdempotent);
	if (!isAllowed) {
		return 'may-have-run';
	}

	return attempt.isRepeatable ? undefined : 'body-streamed';
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
