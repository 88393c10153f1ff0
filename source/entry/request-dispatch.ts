/** Attempts an admitted request on servers, with retries and hedges, until it is answered or refused. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {performance} from 'node:perf_hooks';
import {type AttemptResult, type Candidate} from '../choice/index.js';
import {type Service} from '../configuration/index.js';
import {maximumAttempts, mayHedge, mayRetry} from '../retry/index.js';
import {
	mayHaveRun, notRun, type NotRunReason, type Verdict,
} from '../verdict/index.js';
import {endsWithConnection, streamResponse, writeResponseHead} from './response.js';
import {type Attempt, type AttemptOutcome} from './attempt.js';
import {type RequestContext} from './request-context.js';
import {type Claim} from './claims.js';
import {type Exchange} from './caller-connections.js';
import {type ServiceState} from './fleet.js';
import {getForwardedHeaders} from './headers.js';
import {createServerSelector} from './server-selector.js';
import {type ResponseHead} from './response-head.js';
import {type RoutePolicy} from './router.js';
import {type Decision} from './request-log.js';

/** Content of a caller's request. */
export type RequestContent = {
	readonly method: string;
	readonly target: string;
	readonly key: string | undefined;
	readonly isIdempotent: boolean;
	readonly body: Buffer | undefined;
	readonly stream: IncomingMessage | undefined;
};

type RunningAttempt = {readonly attempt: Attempt; readonly candidate: Candidate; readonly startedAt: number};

/** Share of the target latency after which a hedge is sent; a hedge can then still meet the target. */
const hedgeDelayTargetShare = 0.5;

/** Share of the target latency for which a request may wait for a server; after a longer wait it is unlikely to meet the target. */
const maximumWaitTargetShare = 0.125;

/** Margin by which a timer may fire before its time. */
const timerMarginMilliseconds = 1;

/** Maximum number of unreachable servers that do not count as attempts of a request. */
const maximumUnreachedServers = 4;

/** Reasons for which an attempt failed before it put any load on a server. */
const unreachedReasons: ReadonlySet<NotRunReason> = new Set(['server-withdrawn', 'unreachable', 'unsendable']);

/** Request that has been admitted, with its service and route. */
export type AdmittedRequest = {
	readonly context: RequestContext;
	readonly state: ServiceState;
	readonly service: Service;
	readonly route: RoutePolicy;
	readonly request: RequestContent;
	readonly exchange: Exchange;
	readonly requestId: string;
	readonly deadlineAt: number;
	/** Whether the request is unlikely to meet its target latency. */
	readonly isLate: boolean;
	readonly claim: Claim | undefined;
	/** Responds with a verdict of the entry. */
	refuse(verdict: Verdict): void;
	/** Ends the request after an unexpected error. */
	fail(error: unknown): void;
	/** Called when the request has ended. */
	onEnd(verdict: Verdict): void;
	/** Records a decision for the log. */
	recordDecision(decision: Decision): void;
	computeFingerprint(): string;
};

/**
 * Attempts a request on servers until it is answered or refused.
 * @param admitted - Admitted request.
 */
export function dispatchRequest(admitted: AdmittedRequest): void {
	const {context, state, service, route, request, exchange, deadlineAt} = admitted;
	const {response} = exchange;
	const running = new Set<RunningAttempt>();
	const excluded = new Set<number>();
	const avoidedZones = new Set<string>();
	const selector = createServerSelector({
		context, state, route, excluded, avoidedZones, isLate: admitted.isLate, recordDecision: admitted.recordDecision,
	});
	let attempts = 0;
	let unreachedServers = 0;
	let withheldResponse: Exclude<AttemptOutcome, {readonly kind: 'failed'}> | undefined;
	let hedgeTimer: NodeJS.Timeout | undefined;
	let waitTimer: NodeJS.Timeout | undefined;
	let isSettled = false;
	let hasDispatched = false;
	let mayEarlierAttemptHaveRun = false;
	const attemptLimit = route.attempts ?? maximumAttempts;

	/** Runs a step in an event handler; an unexpected error ends just this request and gives back what it holds. */
	function protect(step: () => void): void {
		try {
			step();
		} catch (error) {
			fail(error);
		}
	}

	/** Ends the request after an unexpected error. */
	function fail(error: unknown): void {
		settle();
		cancelRunning();
		admitted.fail(error);
	}

	function settle(): boolean {
		if (isSettled) {
			return false;
		}

		isSettled = true;
		clearTimeout(hedgeTimer);
		clearTimeout(waitTimer);
		selector.cancel();
		return true;
	}

	/** Ends the request with a verdict of the entry. */
	function refuse(verdict: Verdict): void {
		if (!settle()) {
			return;
		}

		cancelRunning();
		if (verdict.kind === 'notRun' && admitted.claim !== undefined) {
			void admitted.claim.release().then(() => {
				admitted.refuse(verdict);
			});
			return;
		}

		admitted.refuse(verdict);
	}

	function cancelRunning(): void {
		const now = performance.now();
		for (const {attempt, candidate} of running) {
			attempt.cancel();
			candidate.finish('cancelled', now);
		}

		running.clear();
		state.queue.drain(now);
	}

	function mayDispatch(): boolean {
		const now = performance.now();
		return !isSettled && context.mayDispatch(now) && now < deadlineAt;
	}

	function startOnServer(candidate: Candidate, kind: 'first' | 'retry' | 'hedge'): void {
		const now = performance.now();
		const server = context.fleet.get(candidate.id);
		if (server === undefined) {
			refuse(notRun('no-server'));
			return;
		}

		const headers = getForwardedHeaders({
			dialect: context.dialect,
			incoming: exchange.request,
			requestId: admitted.requestId,
			server: candidate.getAnnouncement().name,
			remainingMilliseconds: deadlineAt - now,
			body: request.body,
			isStreamed: request.stream !== undefined,
		});
		attempts++;
		excluded.add(candidate.id);
		context.metrics.countAttempt(service.name, kind);
		candidate.start(now);
		admitted.recordDecision({
			kind: 'send', attempt: kind, server: candidate.getAnnouncement().name, leftMilliseconds: Math.round(deadlineAt - now),
		});
		const attempt = context.startAttempt({
			pool: server.pool,
			dialect: context.dialect,
			requestId: admitted.requestId,
			method: request.method,
			target: request.target,
			headers,
			body: request.body,
			stream: request.stream,
			deadlineAt,
			maximumBufferedBytes: context.maximumBufferedBytes,
			bufferedResponses: context.bufferedResponses,
			maximumBodyBytes: context.maximumBodyBytes,
			mayDispatch,
			hasServerWithdrawn: () => candidate.hasWithdrawn(performance.now()),
			onReport(hints) {
				context.onReport(candidate, hints);
			},
			onDiscard(answer) {
				context.discardedAnswers.record(candidate, answer);
			},
			onError: fail,
			onEnd(outcome) {
				protect(() => {
					handleOutcome(runningAttempt, outcome);
				});
			},
		});
		const runningAttempt: RunningAttempt = {attempt, candidate, startedAt: now};
		running.add(runningAttempt);
	}

	function handleOutcome(runningAttempt: RunningAttempt, outcome: AttemptOutcome): void {
		running.delete(runningAttempt);
		hasDispatched ||= runningAttempt.attempt.wasDispatched();
		mayEarlierAttemptHaveRun ||= outcome.kind === 'failed' && outcome.verdict.kind === 'mayHaveRun';
		const now = performance.now();
		runningAttempt.candidate.finish(getAttemptResult(outcome), now);
		state.queue.recordDeparture(now);
		const {name} = runningAttempt.candidate.getAnnouncement();
		if (outcome.kind === 'failed') {
			const {verdict} = outcome;
			admitted.recordDecision({kind: 'failed', server: name, reason: verdict.kind === 'ran' ? '' : `${verdict.kind} ${verdict.reason}`});
			handleFailure(runningAttempt.candidate, outcome);
		} else {
			admitted.recordDecision({kind: 'answered', server: name, status: outcome.head.status});
			handleResponse(runningAttempt, outcome, now);
		}

		state.queue.drain(now);
	}

	/** Releases the reservation of a buffered response when the caller has taken the response, or is gone. */
	function releaseAtEnd({reservation}: Exclude<AttemptOutcome, {readonly kind: 'failed'}>): void {
		if (response.destroyed) {
			reservation.release();
		} else {
			response.once('close', reservation.release);
		}
	}

	function handleResponse(runningAttempt: RunningAttempt, outcome: Exclude<AttemptOutcome, {readonly kind: 'failed'}>, now: number): void {
		releaseAtEnd(outcome);
		state.hedgeDelay.record(now - runningAttempt.startedAt);
		if (outcome.head.status >= 500) {
			ejectFailing(runningAttempt.candidate, now);
		}

		if (!request.isIdempotent && context.dialect.promisesNotRun(outcome.head.status)) {
			// The server has not declared that it did not run the request, so this status would be a false promise.
			discardOutcome(outcome);
			retryOrRefuse(mayHaveRun('answer-mismatched'), false);
			return;
		}

		if (shouldWithhold(outcome)) {
			withheldResponse = outcome;
			retryOrRefuse(mayHaveRun('connection-lost'), false);
			return;
		}

		if (!settle()) {
			return;
		}

		cancelRunning();
		context.crashTracker.recordSuccess(admitted.computeFingerprint);
		respond(outcome);
	}

	/** Checks whether an error response is withheld because a retry or a running attempt may still succeed. */
	function shouldWithhold(outcome: Exclude<AttemptOutcome, {readonly kind: 'failed'}>): boolean {
		const isFailure = outcome.kind === 'whole' && outcome.head.status >= 500;
		return isFailure && !isSettled && request.isIdempotent && admitted.claim === undefined && (running.size > 0 || attempts < attemptLimit);
	}

	function respond(outcome: Exclude<AttemptOutcome, {readonly kind: 'failed'}>): void {
		if (outcome.kind === 'whole') {
			sendBufferedResponse(outcome);
		} else {
			sendStreamedResponse(outcome);
		}
	}

	function ejectFailing(candidate: Candidate, now: number): void {
		if (context.fleet.ejectIfFailing(service.name, candidate, now)) {
			context.metrics.countEjection(service.name);
		}
	}

	function sendBufferedResponse(outcome: Extract<AttemptOutcome, {readonly kind: 'whole'}>): void {
		const {head, body} = outcome;
		admitted.claim?.finish(body.length <= context.maximumStoredBytes ? {status: head.status, headers: head.headers, body} : undefined);
		if (!response.destroyed) {
			const headWithLength = addLength(head, body);
			writeResponseHead(context.dialect, response, headWithLength, admitted.requestId, exchange.decideClose(headWithLength.isCloseDelimited));
			response.end(body);
		}

		admitted.onEnd({kind: 'ran', status: head.status});
	}

	function sendStreamedResponse(outcome: Extract<AttemptOutcome, {readonly kind: 'large'}>): void {
		const {
			head, firstChunks: chunks, rest, completion,
		} = outcome;
		admitted.claim?.finish(undefined);
		const isFramed = !endsWithConnection(response, head);
		writeResponseHead(context.dialect, response, head, admitted.requestId, exchange.decideClose(!isFramed));
		streamResponse({
			response, chunks, rest, completion, isFramed, deadlineAt, maximumBytes: context.maximumResponseBytes, onEnd(isComplete) {
				const verdict: Verdict = isComplete ? {kind: 'ran', status: head.status} : mayHaveRun('answer-truncated');
				admitted.onEnd(verdict);
			},
		});
	}

	function handleFailure(candidate: Candidate, outcome: Extract<AttemptOutcome, {readonly kind: 'failed'}>): void {
		const now = performance.now();
		if (hasReachedNoServer(outcome.verdict) && unreachedServers < maximumUnreachedServers) {
			unreachedServers++;
			attempts--;
		}

		ejectFailing(candidate, now);
		avoidedZones.add(candidate.getAnnouncement().zone);
		if (!outcome.hasCrashed) {
			retryOrRefuse(outcome.verdict, false);
			return;
		}

		void context.reportCrash(admitted.computeFingerprint(), candidate.id).then(isQuarantined => {
			retryOrRefuse(outcome.verdict, isQuarantined);
		});
	}

	function retryOrRefuse(verdict: Verdict, isQuarantined: boolean): void {
		if (isSettled || running.size > 0) {
			return;
		}

		const isAllowed = mayRetry({
			verdict,
			isIdempotent: request.isIdempotent,
			isRepeatable: request.stream === undefined || !hasDispatched,
			attempts,
			maximumAttempts: attemptLimit,
			remainingMilliseconds: deadlineAt - performance.now(),
			isQuarantined,
		});
		if (!isAllowed) {
			admitted.recordDecision({kind: 'noRetry', reason: getNoRetryReason(verdict, isQuarantined)});
			finishWithoutRetry(verdict);
			return;
		}

		// An attempt on an unreachable server puts no load on any server.
		if (!hasReachedNoServer(verdict) && !state.retries.tryWithdraw()) {
			admitted.recordDecision({kind: 'noRetry', reason: 'budget'});
			finishWithoutRetry(verdict);
			return;
		}

		selector.select(candidate => {
			protect(() => {
				if (candidate === undefined) {
					finishWithoutRetry(verdict);
				} else {
					startOnServer(candidate, 'retry');
				}
			});
		});
	}

	function getNoRetryReason(verdict: Verdict, isQuarantined: boolean): 'attempts' | 'deadline' | 'may-have-run' | 'quarantined' {
		if (isQuarantined) {
			return 'quarantined';
		}

		if (performance.now() >= deadlineAt) {
			return 'deadline';
		}

		return attempts >= attemptLimit ? 'attempts' : 'may-have-run';
	}

	/** Ends the request with the withheld error response, if there is one, or with a verdict. */
	function finishWithoutRetry(verdict: Verdict): void {
		if (withheldResponse === undefined) {
			refuse(getFinalVerdict(verdict));
		} else if (settle()) {
			respond(withheldResponse);
		}
	}

	/** Gets the verdict on all attempts: an earlier one may have run even if the last one did not. */
	function getFinalVerdict(verdict: Verdict): Verdict {
		return verdict.kind === 'notRun' && mayEarlierAttemptHaveRun ? mayHaveRun('connection-lost') : verdict;
	}

	function scheduleHedge(): void {
		const {method, isIdempotent, stream} = request;
		const {hedgeRatio} = service;
		if (!mayHedge({
			method, isIdempotent, isRepeatable: stream === undefined, hedgeRatio,
		})) {
			return;
		}

		if (attemptLimit < 2) {
			return;
		}

		state.hedges.deposit();
		const delayMilliseconds = route.targetMilliseconds === undefined ? state.hedgeDelay.getMilliseconds() : route.targetMilliseconds * hedgeDelayTargetShare;
		// Defers the hedge by one event loop turn, so that responses that have already arrived are read first.
		hedgeTimer = setTimeout(() => {
			setImmediate(protect, sendHedge);
		}, delayMilliseconds);
	}

	function sendHedge(): void {
		// While requests are queued, a hedge would take the slot of a request that has not been attempted.
		if (isHedgeObsolete() || state.hedges.getBalance() < 1) {
			return;
		}

		selector.selectForHedge(candidate => {
			protect(() => {
				if (candidate !== undefined && !isHedgeObsolete() && mayDispatch() && state.hedges.tryWithdraw()) {
					startOnServer(candidate, 'hedge');
				}
			});
		});
	}

	function isHedgeObsolete(): boolean {
		return isSettled || running.size !== 1 || attempts >= attemptLimit || state.queue.getLength() > 0;
	}

	/** Starts the selection of a server for the first attempt; returns false when no server is available. */
	function startFirstAttempt(): boolean {
		if (selector.chooseImmediately(performance.now()) === undefined) {
			return false;
		}

		clearTimeout(waitTimer);

		selector.select(candidate => {
			protect(() => {
				if (candidate === undefined) {
					refuse(notRun('overload'));
					return;
				}

				startOnServer(candidate, 'first');
				scheduleHedge();
			});
		});
		return true;
	}

	function enqueue(): void {
		const {targetMilliseconds} = route;
		const now = performance.now();
		const waitDeadlineAt = targetMilliseconds === undefined ? deadlineAt : Math.min(deadlineAt, now + (targetMilliseconds * maximumWaitTargetShare));
		const pauseEndsAt = context.fleet.getPauseEnd(service.name, now) ?? now;
		const isQueued = pauseEndsAt < waitDeadlineAt && state.getCandidates().length > 0 && state.queue.add({
			deadlineAt: waitDeadlineAt,
			start: startFirstAttempt,
			expire() {
				refuse(notRun(waitDeadlineAt < deadlineAt ? 'overload' : 'deadline'));
			},
			isSettled: () => isSettled,
		}, now);
		if (!isQueued) {
			refuse(notRun(state.getCandidates().length > 0 ? 'overload' : 'no-server'));
			return;
		}

		waitTimer = setTimeout(() => {
			protect(() => {
				state.queue.expire(performance.now());
			});
		}, Math.ceil(waitDeadlineAt - now) + timerMarginMilliseconds);
	}

	response.once('close', () => {
		if (!response.writableFinished) {
			handleDisconnect();
		}
	});

	/** Ends the request after the caller disconnected; running attempts are cancelled. */
	function handleDisconnect(): void {
		const wasDispatched = hasDispatched || [...running].some(({attempt}) => attempt.wasDispatched());
		refuse(wasDispatched ? mayHaveRun('caller-left') : notRun('caller-left'));
	}

	state.retries.deposit();
	if (response.destroyed) {
		handleDisconnect();
	} else if (state.queue.getLength() > 0 || !startFirstAttempt()) {
		enqueue();
	}
}

/** Gives up a response that is not passed on. */
function discardOutcome(outcome: Exclude<AttemptOutcome, {readonly kind: 'failed'}>): void {
	if (outcome.kind === 'large') {
		outcome.rest.destroy();
	}
}

/** Adds a length to the head of a complete body that has none, so that the connection to the caller stays open. */
function addLength(head: ResponseHead, body: Buffer): ResponseHead {
	return head.isCloseDelimited
		? {...head, headers: [...head.headers, 'content-length', String(body.length)], isCloseDelimited: false}
		: head;
}

/** Checks whether an attempt failed before it put any load on a server. */
function hasReachedNoServer(verdict: Verdict): boolean {
	return verdict.kind === 'notRun' && unreachedReasons.has(verdict.reason);
}

/** Gets the result that is counted for the server. */
function getAttemptResult(outcome: AttemptOutcome): AttemptResult {
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
