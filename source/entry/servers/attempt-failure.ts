/** Reasons for which attempts fail, and what they say about the server and its answer. */
import {type DiscardReason} from './discarded-answers.js';

/** Reason for a failed attempt. */
export type FailureReason = 'deadline' | 'connection-lost' | 'answer-truncated' | 'answer-mismatched' | 'answer-malformed' | 'answer-unproven' | 'bad-request' | 'body-too-large';

/** Reasons for which an answer that was read does not count. */
const discardReasons: ReadonlySet<FailureReason> = new Set<FailureReason & DiscardReason>(['answer-malformed', 'answer-mismatched', 'answer-truncated', 'answer-unproven']);

/** Reasons that do not indicate that the server has crashed. */
const harmlessReasons: ReadonlySet<FailureReason> = new Set(['deadline', 'answer-mismatched', 'answer-malformed', 'answer-unproven', 'bad-request', 'body-too-large']);

/**
 * Gets the reason for which an answer was discarded, or undefined if the failure discards none.
 * @param reason - Reason for the failed attempt.
 */
export function getDiscardReason(reason: FailureReason): DiscardReason | undefined {
	return isDiscardReason(reason) ? reason : undefined;
}

function isDiscardReason(reason: FailureReason): reason is FailureReason & DiscardReason {
	return discardReasons.has(reason);
}

/**
 * Checks whether a failure after the request was sent indicates that the server has crashed.
 * @param reason - Reason for the failed attempt.
 */
export function indicatesCrash(reason: FailureReason): boolean {
	return !harmlessReasons.has(reason);
}

/**
 * Checks whether an error of a connection is that its data cannot be parsed.
 * @param error - Error of the connection.
 */
export function isParserError({code}: NodeJS.ErrnoException): boolean {
	return code?.startsWith('HPE_') ?? false;
}
