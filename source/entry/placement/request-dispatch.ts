/** Attempts an admitted request on servers, with retries and hedges, until it is answered or refused. */
import {performance} from 'node:perf_hooks';
import {type Candidate} from '../../choice/index.js';
import {mayHaveRun, notRun} from '../../verdict/index.js';
import {type AdmittedRequest} from '../requests/index.js';
import {type AttemptOutcome, type AttemptResponse, type FailedAttempt} from '../servers/index.js';
import {recordAnswer, recordFailure} from './attempt-recording.js';
import {getAttemptResult, hasReachedNoServer} from './attempt-result.js';
import {startOrEnqueue} from './first-attempt.js';
import {retryOrRefuse} from './further-attempt.js';
import {
	cancelRunning, createProgress, refuse, settle, type AttemptKind, type RequestProgress, type RunningAttempt,
} from './request-progress.js';
import {discardResponse, relayResponse} from './response-relay.js';
import {startServerAttempt} from './server-attempt.js';

/** Maximum number of unreachable servers that do not count as attempts of a request. */
const maximumUnreachedServers = 4;

/**
 * Attempts a request on servers until it is answered or refused.
 * @param admitted - Admitted request.
 */
export function dispatchRequest(admitted: AdmittedRequest): void {
	const {response} = admitted.exchange;
	const progress = createProgress(admitted);
	response.once('close', () => {
		if (!response.writableFinished) {
			handleDisconnect(progress);
		}
	});
	admitted.state.retries.deposit();
	admitted.state.hedging?.budget.deposit();
	if (response.destroyed) {
		handleDisconnect(progress);
	} else {
		startOrEnqueue(progress, startOnServer);
	}
}

function startOnServer(progress: RequestProgress, candidate: Candidate, kind: AttemptKind): void {
	startServerAttempt({
		progress, candidate, kind, onOutcome: handleOutcome,
	});
}

function handleOutcome(progress: RequestProgress, runningAttempt: RunningAttempt, outcome: AttemptOutcome): void {
	const {admitted, running} = progress;
	const {queue} = admitted.state;
	const {attempt, candidate} = runningAttempt;
	running.delete(runningAttempt);
	progress.hasDispatched ||= attempt.wasDispatched();
	progress.mayEarlierAttemptHaveRun ||= outcome.kind === 'failed' && outcome.verdict.kind === 'mayHaveRun';
	const now = performance.now();
	candidate.finish(getAttemptResult(outcome), now);
	queue.recordDeparture(now);
	const {name} = candidate.getAnnouncement();
	if (outcome.kind === 'failed') {
		const {verdict} = outcome;
		admitted.recordDecision({kind: 'failed', server: name, reason: verdict.kind === 'ran' ? '' : `${verdict.kind} ${verdict.reason}`});
		recordFailure(progress, runningAttempt, verdict, now);
		handleFailure(progress, candidate, outcome);
	} else {
		admitted.recordDecision({kind: 'answered', server: name, status: outcome.head.status});
		handleResponse(progress, runningAttempt, outcome, now);
	}

	queue.drain(now);
}

function handleResponse(progress: RequestProgress, runningAttempt: RunningAttempt, outcome: AttemptResponse, now: number): void {
	const {candidate, startedAt} = runningAttempt;
	const {admitted} = progress;
	const {context, state, request} = admitted;
	releaseAtEnd(admitted, outcome);
	state.hedgeDelay.record(now - startedAt);
	if (outcome.head.status >= 500) {
		recordFailure(progress, runningAttempt, undefined, now);
		ejectFailing(admitted, candidate, now);
	}

	if (!request.isIdempotent && context.dialect.promisesNotRun(outcome.head.status)) {
		// The server has not declared that it did not run the request, so this status would be a false promise.
		discardResponse(outcome);
		retryOrRefuse({
			progress, verdict: mayHaveRun('answer-mismatched'), isQuarantined: false, start: startOnServer,
		});
		return;
	}

	if (shouldWithhold(progress, outcome)) {
		progress.withheldResponse = outcome;
		retryOrRefuse({
			progress, verdict: mayHaveRun('connection-lost'), isQuarantined: false, start: startOnServer,
		});
		return;
	}

	if (!settle(progress)) {
		return;
	}

	if (outcome.head.status < 500) {
		recordAnswer(progress, runningAttempt, now);
	}

	// A large response may take long to pass on, and its token would count as held meanwhile.
	admitted.token?.end(true, now);
	cancelRunning(progress);
	context.crashTracker.recordSuccess(admitted.computeFingerprint);
	relayResponse(admitted, outcome);
}

/** Releases the reservation of a buffered response when the caller has taken the response, or is gone. */
function releaseAtEnd({exchange: {response}}: AdmittedRequest, {reservation}: AttemptResponse): void {
	if (response.destroyed) {
		reservation.release();
	} else {
		response.once('close', reservation.release);
	}
}

/** Checks whether an error response is withheld because a retry or a running attempt may still succeed. */
function shouldWithhold(progress: RequestProgress, outcome: AttemptResponse): boolean {
	const {
		admitted, isSettled, running, attempts, attemptLimit,
	} = progress;
	const isFailure = outcome.kind === 'whole' && outcome.head.status >= 500;
	return isFailure && !isSettled && admitted.request.isIdempotent && admitted.claim === undefined && (running.size > 0 || attempts < attemptLimit);
}

function ejectFailing({context, service}: AdmittedRequest, candidate: Candidate, now: number): void {
	if (context.fleet.ejectIfFailing(service.name, candidate, now)) {
		context.metrics.countEjection(service.name);
	}
}

function handleFailure(progress: RequestProgress, candidate: Candidate, {verdict, hasCrashed}: FailedAttempt): void {
	const {admitted} = progress;
	if (hasReachedNoServer(verdict) && progress.unreachedServers < maximumUnreachedServers) {
		progress.unreachedServers++;
		progress.attempts--;
	}

	ejectFailing(admitted, candidate, performance.now());
	progress.avoidedZones.add(candidate.getAnnouncement().zone);
	if (!hasCrashed) {
		retryOrRefuse({
			progress, verdict, isQuarantined: false, start: startOnServer,
		});
		return;
	}

	void admitted.context.reportCrash(admitted.computeFingerprint(), candidate.id).then(isQuarantined => {
		retryOrRefuse({
			progress, verdict, isQuarantined, start: startOnServer,
		});
	});
}

/** Ends the request after the caller disconnected; running attempts are cancelled. */
function handleDisconnect(progress: RequestProgress): void {
	const wasDispatched = progress.hasDispatched || [...progress.running].some(({attempt}) => attempt.wasDispatched());
	refuse(progress, wasDispatched ? mayHaveRun('caller-left') : notRun('caller-left'));
}
