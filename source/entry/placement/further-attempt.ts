/** Repeats a request on another server after a failed attempt, or ends it with what is known. */
import {performance} from 'node:perf_hooks';
import {getRetryObstacle} from '../../retry/index.js';
import {mayHaveRun, type Verdict} from '../../verdict/index.js';
import {hasReachedNoServer} from './attempt-result.js';
import {
	protect, refuse, settle, type RequestProgress,
} from './request-progress.js';
import {relayResponse} from './response-relay.js';
import {type AttemptStart} from './server-attempt.js';

/** Options of `retryOrRefuse`. */
export type RetryOptions = {
	readonly progress: RequestProgress;
	/** Verdict on the attempt that failed last. */
	readonly verdict: Verdict;
	/** Whether the request is quarantined because it crashes servers. */
	readonly isQuarantined: boolean;
	/** Starts the attempt. */
	readonly start: AttemptStart;
};

/**
 * Repeats a request that no attempt is running for, if the rules and the budget allow it; ends it otherwise.
 * @param options - Request and verdict on its last attempt.
 */
export function retryOrRefuse({
	progress, verdict, isQuarantined, start,
}: RetryOptions): void {
	const {admitted} = progress;
	const {request} = admitted;
	if (progress.isSettled || progress.running.size > 0) {
		return;
	}

	const obstacle = getRetryObstacle({
		verdict,
		isIdempotent: request.isIdempotent,
		isRepeatable: request.stream === undefined || !progress.hasDispatched,
		attempts: progress.attempts,
		maximumAttempts: progress.attemptLimit,
		remainingMilliseconds: admitted.deadlineAt - performance.now(),
		isQuarantined,
	});
	if (obstacle !== undefined) {
		admitted.recordDecision({kind: 'noRetry', reason: obstacle});
		finishWithoutRetry(progress, verdict);
		return;
	}

	// An attempt on an unreachable server puts no load on any server.
	if (!hasReachedNoServer(verdict) && !admitted.state.retries.tryWithdraw()) {
		admitted.recordDecision({kind: 'noRetry', reason: 'budget'});
		finishWithoutRetry(progress, verdict);
		return;
	}

	progress.selector.select(candidate => {
		protect(progress, () => {
			if (candidate === undefined) {
				finishWithoutRetry(progress, verdict);
			} else {
				start(progress, candidate, 'retry');
			}
		});
	});
}

/** Ends the request with the withheld error response, if there is one, or with a verdict. */
function finishWithoutRetry(progress: RequestProgress, verdict: Verdict): void {
	if (progress.withheldResponse === undefined) {
		refuse(progress, getFinalVerdict(progress, verdict));
	} else if (settle(progress)) {
		relayResponse(progress.admitted, progress.withheldResponse);
	}
}

/** Gets the verdict on all attempts: an earlier one may have run even if the last one did not. */
function getFinalVerdict({mayEarlierAttemptHaveRun}: RequestProgress, verdict: Verdict): Verdict {
	return verdict.kind === 'notRun' && mayEarlierAttemptHaveRun ? mayHaveRun('connection-lost') : verdict;
}
