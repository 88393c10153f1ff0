/** What the outcome of an attempt says about the server: whether it counts as a failure, and whether it was reached at all. */
import {type AttemptResult} from '../../choice/index.js';
import {type NotRunReason, type Verdict} from '../../verdict/index.js';
import {type AttemptOutcome} from '../servers/index.js';

/** Reasons for which an attempt failed before it put any load on a server. */
const unreachedReasons: ReadonlySet<NotRunReason> = new Set(['server-withdrawn', 'unreachable', 'unsendable']);

/**
 * Gets the result that is counted for the server.
 * @param outcome - Outcome of the attempt.
 */
export function getAttemptResult(outcome: AttemptOutcome): AttemptResult {
	if (outcome.kind !== 'failed') {
		return outcome.head.status >= 500 ? 'failure' : 'success';
	}

	const {verdict} = outcome;
	if (verdict.kind !== 'notRun') {
		return 'failure';
	}

	const isEntryRefusal = verdict.reason === 'lease-expired' || verdict.reason === 'deadline' || verdict.reason === 'server-withdrawn';
	const result = verdict.reason === 'server-shed' ? 'shed' : 'failure';
	return isEntryRefusal ? 'cancelled' : result;
}

/**
 * Checks whether an attempt failed before it put any load on a server.
 * @param verdict - Verdict on the failed attempt.
 */
export function hasReachedNoServer(verdict: Verdict): boolean {
	return verdict.kind === 'notRun' && unreachedReasons.has(verdict.reason);
}
