/** The progress of an admitted request: what has been attempted, what is running, and whether the request is settled. */
import {performance} from 'node:perf_hooks';
import {type Candidate} from '../../choice/index.js';
import {maximumAttempts} from '../../retry/index.js';
import {type Verdict} from '../../verdict/index.js';
import {type AdmittedRequest} from '../requests/index.js';
import {type Attempt, type AttemptResponse} from '../servers/index.js';
import {createServerSelector, type ServerSelector} from './server-selector.js';

/** Why an attempt is made. */
export type AttemptKind = 'first' | 'retry' | 'hedge';

/** An attempt on a server that has not ended. */
export type RunningAttempt = {readonly attempt: Attempt; readonly candidate: Candidate; readonly kind: AttemptKind; readonly startedAt: number};

/** Progress of a request. */
export type RequestProgress = {
	readonly admitted: AdmittedRequest;
	readonly running: Set<RunningAttempt>;
	/** Servers that have already received an attempt. */
	readonly excluded: Set<number>;
	/** Zones in which an attempt has failed. */
	readonly avoidedZones: Set<string>;
	readonly selector: ServerSelector;
	readonly attemptLimit: number;
	/** Number of attempts so far. */
	attempts: number;
	/** Number of attempts that reached no server and are not counted. */
	unreachedServers: number;
	/** Error response that is sent if no further attempt succeeds. */
	withheldResponse: AttemptResponse | undefined;
	hedgeTimer: NodeJS.Timeout | undefined;
	/** Ends the wait for a server. */
	waitTimer: NodeJS.Timeout | undefined;
	/** Whether it is decided how the request ends. */
	isSettled: boolean;
	hasDispatched: boolean;
	mayEarlierAttemptHaveRun: boolean;
};

/**
 * Creates the progress of a request without attempts.
 * @param admitted - Admitted request.
 */
export function createProgress(admitted: AdmittedRequest): RequestProgress {
	const {
		context, state, route, rank, access, isLate, recordDecision,
	} = admitted;
	const excluded = new Set<number>();
	const avoidedZones = new Set<string>();
	return {
		admitted,
		running: new Set<RunningAttempt>(),
		excluded,
		avoidedZones,
		selector: createServerSelector({
			context, state, route, rank, access, excluded, avoidedZones, isLate, recordDecision,
		}),
		attemptLimit: route.attempts ?? maximumAttempts,
		attempts: 0,
		unreachedServers: 0,
		withheldResponse: undefined,
		hedgeTimer: undefined,
		waitTimer: undefined,
		isSettled: false,
		hasDispatched: false,
		mayEarlierAttemptHaveRun: false,
	};
}

/**
 * Runs a step in an event handler; an unexpected error ends just this request and gives back what it holds.
 * @param progress - Progress of the request.
 * @param step - Step to run.
 */
export function protect(progress: RequestProgress, step: (progress: RequestProgress) => void): void {
	try {
		step(progress);
	} catch (error) {
		fail(progress, error);
	}
}

/**
 * Ends a request after an unexpected error.
 * @param progress - Progress of the request.
 * @param error - Unexpected error.
 */
export function fail(progress: RequestProgress, error: unknown): void {
	settle(progress);
	cancelRunning(progress);
	progress.admitted.fail(error);
}

/**
 * Settles a request, unless it already is. Returns whether it was not.
 * @param progress - Progress of the request.
 */
export function settle(progress: RequestProgress): boolean {
	if (progress.isSettled) {
		return false;
	}

	progress.isSettled = true;
	clearTimeout(progress.hedgeTimer);
	clearTimeout(progress.waitTimer);
	progress.selector.cancel();
	return true;
}

/**
 * Ends a request with a verdict of the entry, unless it is settled.
 * @param progress - Progress of the request.
 * @param verdict - Verdict of the entry.
 */
export function refuse(progress: RequestProgress, verdict: Verdict): void {
	const {admitted} = progress;
	if (!settle(progress)) {
		return;
	}

	cancelRunning(progress);
	if (verdict.kind === 'notRun' && admitted.claim !== undefined) {
		void admitted.claim.release().then(() => {
			admitted.refuse(verdict);
		});
		return;
	}

	admitted.refuse(verdict);
}

/**
 * Cancels the running attempts of a request, and gives their slots to waiting requests.
 * @param progress - Progress of the request.
 */
export function cancelRunning({running, admitted}: RequestProgress): void {
	const now = performance.now();
	for (const {attempt, candidate, kind} of running) {
		attempt.cancel();
		if (kind === 'hedge') {
			admitted.context.metrics.countHedge(admitted.service.name, 'cancelled');
		}

		candidate.finish('cancelled', now);
	}

	running.clear();
	admitted.state.queue.drain(now);
}
