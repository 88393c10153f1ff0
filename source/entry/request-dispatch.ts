/** Attempts an admitted call on servers until it is answered or refused. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {type AttemptResult, type Candidate} from '../choice/index.js';
import {type Service} from '../configuration/index.js';
import {maximumAttempts, mayHedge, mayRetry} from '../retry/index.js';
import {mayHaveRun, notRun, type Verdict} from '../verdict/index.js';
import {streamResponse, writeResponseHead} from './response.js';
import {startAttempt, type Attempt, type AttemptOutcome} from './attempt.js';
import {type RequestContext} from './request-handler.js';
import {type Claim} from './claims.js';
import {type ServiceState} from './fleet.js';
import {getForwardedHeaders} from './headers.js';
import {createServerSelector} from './server-selector.js';
import {type RoutePolicy} from './router.js';
import {type Decision} from './request-log.js';

/** What a caller asks for. */
export type RequestContent = {
	readonly method: string;
	readonly target: string;
	readonly key: string | undefined;
	readonly isIdempotent: boolean;
	readonly body: Buffer | undefined;
	readonly stream: IncomingMessage | undefined;
};

type Running = {readonly attempt: Attempt; readonly candidate: Candidate; readonly startedAt: number};

/** Share of the target latency after which a second attempt may still meet it. */
const hedgedTargetShare = 0.5;

/** Share of the target latency for which a request waits for a server; later it could hardly meet the target. */
const waitedTargetShare = 0.125;

/** Servers that one request may fail to reach beside its attempts. */
const largestUnreached = 4;

/** An admitted call. */
export type AdmittedRequest = {
	readonly context: RequestContext;
	readonly state: ServiceState;
	readonly service: Service;
	readonly route: RoutePolicy;
	readonly request: RequestContent;
	readonly incoming: IncomingMessage;
	readonly response: ServerResponse;
	readonly requestId: string;
	readonly startedAt: number;
	readonly deadlineAt: number;
	/** Whether the request can hardly be answered within its target any more. */
	readonly isLate: boolean;
	readonly claim: Claim | undefined;
	/** Answers with a verdict of the entry's own. */
	refuse(verdict: Verdict): void;
	/** Takes the end of the call. */
	ended(verdict: Verdict): void;
	/** Notes a decision for the log. */
	recordDecision(decision: Decision): void;
	fingerprint(): string;
};

/**
 * Attempts a call on servers until it is answered or refused.
 * @param call - Admitted call.
 */
export function dispatchRequest(call: AdmittedRequest): void {
	const {context, state, service, route, request, response, deadlineAt} = call;
	const running = new Set<Running>();
	const excluded = new Set<number>();
	const avoidedZones = new Set<string>();
	const placement = createServerSelector({
		context, state, route, excluded, avoidedZones, isLate: call.isLate, recordDecision: call.recordDecision,
	});
	let attempts = 0;
	let unreached = 0;
	let failedAnswer: Exclude<AttemptOutcome, {readonly kind: 'failed'}> | undefined;
	let hedgeTimer: NodeJS.Timeout | undefined;
	let isSettled = false;
	let hasDispatched = false;
	let mayHaveRunBefore = false;
	const largestAttempts = route.attempts ?? maximumAttempts;

	function settle(): boolean {
		if (isSettled) {
			return false;
		}

		isSettled = true;
		clearTimeout(hedgeTimer);
		placement.cancel();
		return true;
	}

	/** Ends the call with a verdict of the entry's own. */
	function refuse(verdict: Verdict): void {
		if (!settle()) {
			return;
		}

		cancelRunning();
		if (verdict.kind === 'notRun' && call.claim !== undefined) {
			void call.claim.release().then(() => {
				call.refuse(verdict);
			});
			return;
		}

		call.refuse(verdict);
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

	function start(candidate: Candidate, kind: 'first' | 'retry' | 'hedge'): void {
		const now = performance.now();
		const server = context.fleet.get(candidate.id);
		if (server === undefined) {
			refuse(notRun('no-server'));
			return;
		}

		attempts++;
		excluded.add(candidate.id);
		context.metrics.countAttempt(service.name, kind);
		candidate.start(now);
		call.recordDecision({
			kind: 'send', attempt: kind, server: candidate.getAnnouncement().name, leftMilliseconds: Math.round(deadlineAt - now),
		});
		const attempt = startAttempt({
			pool: server.pool,
			dialect: context.dialect,
			requestId: call.requestId,
			method: request.method,
			target: request.target,
			headers: getForwardedHeaders({
				dialect: context.dialect,
				incoming: call.incoming,
				requestId: call.requestId,
				server: candidate.getAnnouncement().name,
				remainingMilliseconds: deadlineAt - now,
				body: request.body,
				isStreamed: request.stream !== undefined,
			}),
			body: request.body,
			stream: request.stream,
			deadlineAt,
			maximumHeldBytes: context.maximumHeldBytes,
			mayDispatch,
			onReport(hints) {
				context.onReport(candidate, hints);
			},
			onEnd(outcome) {
				end(self, outcome);
			},
		});
		const self: Running = {attempt, candidate, startedAt: now};
		running.add(self);
	}

	function end(self: Running, outcome: AttemptOutcome): void {
		running.delete(self);
		hasDispatched ||= self.attempt.wasDispatched();
		mayHaveRunBefore ||= outcome.kind === 'failed' && outcome.verdict.kind === 'mayHaveRun';
		const now = performance.now();
		self.candidate.finish(getResult(outcome), now);
		state.queue.recordDeparture(now);
		const {name} = self.candidate.getAnnouncement();
		if (outcome.kind === 'failed') {
			const {verdict} = outcome;
			call.recordDecision({kind: 'failed', server: name, reason: verdict.kind === 'ran' ? '' : `${verdict.kind} ${verdict.reason}`});
			fail(self.candidate, outcome);
		} else {
			call.recordDecision({kind: 'answered', server: name, status: outcome.head.status});
			succeed(self, outcome, now);
		}

		state.queue.drain(now);
	}

	function succeed(self: Running, outcome: Exclude<AttemptOutcome, {readonly kind: 'failed'}>, now: number): void {
		state.hedgeDelay.record(now - self.startedAt);
		if (outcome.head.status >= 500) {
			ejectFailing(self.candidate, now);
		}

		if (mayImprove(outcome)) {
			failedAnswer = outcome;
			retryOrRefuse(mayHaveRun('connection-lost'), false);
			return;
		}

		if (!settle()) {
			return;
		}

		cancelRunning();
		context.crashTracker.recordSuccess(call.fingerprint);
		answer(outcome);
	}

	/** Checks whether a server's failure is kept back, because another server may do better or is about to. */
	function mayImprove(outcome: Exclude<AttemptOutcome, {readonly kind: 'failed'}>): boolean {
		const isFailure = outcome.kind === 'whole' && outcome.head.status >= 500;
		return isFailure && !isSettled && request.isIdempotent && call.claim === undefined && (running.size > 0 || attempts < largestAttempts);
	}

	function answer(outcome: Exclude<AttemptOutcome, {readonly kind: 'failed'}>): void {
		if (outcome.kind === 'whole') {
			answerWhole(outcome);
		} else {
			answerLarge(outcome);
		}
	}

	function ejectFailing(candidate: Candidate, now: number): void {
		if (context.fleet.ejectIfFailing(service.name, candidate, now)) {
			context.metrics.countEjection(service.name);
		}
	}

	function answerWhole(outcome: Extract<AttemptOutcome, {readonly kind: 'whole'}>): void {
		const {head, body} = outcome;
		call.claim?.finish(body.length <= context.maximumStoredBytes ? {status: head.status, headers: head.headers, body} : undefined);
		if (!response.destroyed) {
			writeResponseHead(context.dialect, response, head, call.requestId, context.isClosing());
			response.end(body);
		}

		call.ended({kind: 'ran', status: head.status});
	}

	function answerLarge(outcome: Extract<AttemptOutcome, {readonly kind: 'large'}>): void {
		const {
			head, firstChunks: chunks, rest, completion: ending,
		} = outcome;
		call.claim?.finish(undefined);
		writeResponseHead(context.dialect, response, head, call.requestId, context.isClosing());
		streamResponse({
			response, chunks, rest, completion: ending, deadlineAt, onEnd(isWhole) {
				const verdict: Verdict = isWhole ? {kind: 'ran', status: head.status} : mayHaveRun('answer-truncated');
				call.ended(verdict);
			},
		});
	}

	function fail(candidate: Candidate, outcome: Extract<AttemptOutcome, {readonly kind: 'failed'}>): void {
		const now = performance.now();
		if (outcome.verdict.kind === 'notRun' && outcome.verdict.reason === 'unreachable' && unreached < largestUnreached) {
			unreached++;
			attempts--;
		}

		ejectFailing(candidate, now);
		avoidedZones.add(candidate.getAnnouncement().zone);
		if (!outcome.hasCrashed) {
			retryOrRefuse(outcome.verdict, false);
			return;
		}

		void context.reportCrash(call.fingerprint(), candidate.id).then(isQuarantined => {
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
			isRepeatable: request.stream === undefined,
			attempts,
			maximumAttempts: largestAttempts,
			remainingMilliseconds: deadlineAt - performance.now(),
			isQuarantined,
		});
		if (!isAllowed) {
			call.recordDecision({kind: 'noRetry', reason: getObstacle(verdict, isQuarantined)});
			giveUp(verdict);
			return;
		}

		// A server that was never reached has received no extra request.
		const isFree = verdict.kind === 'notRun' && verdict.reason === 'unreachable';
		if (!isFree && !state.retries.tryWithdraw()) {
			call.recordDecision({kind: 'noRetry', reason: 'budget'});
			giveUp(verdict);
			return;
		}

		placement.select(candidate => {
			if (candidate === undefined) {
				giveUp(verdict);
			} else {
				start(candidate, 'retry');
			}
		});
	}

	function getObstacle(verdict: Verdict, isQuarantined: boolean): 'attempts' | 'deadline' | 'may-have-run' | 'quarantined' {
		if (isQuarantined) {
			return 'quarantined';
		}

		if (performance.now() >= deadlineAt) {
			return 'deadline';
		}

		return attempts >= largestAttempts ? 'attempts' : 'may-have-run';
	}

	/** Ends the call with what a server answered, if one did, or with a verdict. */
	function giveUp(verdict: Verdict): void {
		if (failedAnswer === undefined) {
			refuse(getFinalVerdict(verdict));
		} else if (settle()) {
			answer(failedAnswer);
		}
	}

	/** An earlier attempt may have run even if the last one did not. */
	function getFinalVerdict(verdict: Verdict): Verdict {
		return verdict.kind === 'notRun' && mayHaveRunBefore ? mayHaveRun('connection-lost') : verdict;
	}

	function planHedge(): void {
		const {method, isIdempotent, stream} = request;
		const {hedgeRatio} = service;
		if (!mayHedge({
			method, isIdempotent, isRepeatable: stream === undefined, hedgeRatio,
		})) {
			return;
		}

		if (largestAttempts < 2) {
			return;
		}

		state.hedges.deposit();
		const wait = route.targetMilliseconds === undefined ? state.hedgeDelay.getMilliseconds() : route.targetMilliseconds * hedgedTargetShare;
		// In the turn after the timer's, answers that have already arrived are read before the hedge is sent.
		hedgeTimer = setTimeout(() => {
			setImmediate(hedge);
		}, wait);
	}

	function hedge(): void {
		// While requests wait, a second attempt would take the slot of one that has had none.
		if (isHedgePointless() || state.hedges.getBalance() < 1) {
			return;
		}

		placement.selectForHedge(candidate => {
			if (candidate !== undefined && !isHedgePointless() && mayDispatch() && state.hedges.tryWithdraw()) {
				start(candidate, 'hedge');
			}
		});
	}

	function isHedgePointless(): boolean {
		return isSettled || running.size !== 1 || attempts >= largestAttempts || state.queue.getLength() > 0;
	}

	/** Starts the first attempt, or lets its servers be asked; returns false when no server is open. */
	function startFirst(): boolean {
		if (placement.chooseImmediately(performance.now()) === undefined) {
			return false;
		}

		placement.select(candidate => {
			if (candidate === undefined) {
				refuse(notRun('overload'));
				return;
			}

			start(candidate, 'first');
			planHedge();
		});
		return true;
	}

	function wait(): void {
		const {targetMilliseconds} = route;
		const waitUntil = targetMilliseconds === undefined ? deadlineAt : Math.min(deadlineAt, performance.now() + (targetMilliseconds * waitedTargetShare));
		const isQueued = state.getCandidates().length > 0 && state.queue.add({
			deadlineAt: waitUntil,
			start: startFirst,
			expire() {
				refuse(notRun(waitUntil < deadlineAt ? 'overload' : 'deadline'));
			},
			isAbandoned: () => isSettled,
		}, performance.now());
		if (!isQueued) {
			refuse(notRun(state.getCandidates().length > 0 ? 'overload' : 'no-server'));
		}
	}

	response.once('close', () => {
		if (!response.writableFinished) {
			leave();
		}
	});

	/** The caller went away; work that a server has begun is cancelled there. */
	function leave(): void {
		const wasDispatched = hasDispatched || [...running].some(({attempt}) => attempt.wasDispatched());
		refuse(wasDispatched ? mayHaveRun('caller-left') : notRun('caller-left'));
	}

	state.retries.deposit();
	if (response.destroyed) {
		leave();
	} else if (state.queue.getLength() > 0 || !startFirst()) {
		wait();
	}
}

/** Gets what an outcome says of the server. */
function getResult(outcome: AttemptOutcome): AttemptResult {
	if (outcome.kind !== 'failed') {
		return outcome.head.status >= 500 ? 'failure' : 'success';
	}

	const {verdict} = outcome;
	if (verdict.kind !== 'notRun') {
		return 'failure';
	}

	const isOwnRefusal = verdict.reason === 'lease-expired' || verdict.reason === 'deadline';
	const result = verdict.reason === 'server-shed' ? 'shed' : 'failure';
	return isOwnRefusal ? 'cancelled' : result;
}
