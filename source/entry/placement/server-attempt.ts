/** Starts an attempt of a request on a selected server, and counts it for the request, the server and the log. */
import {performance} from 'node:perf_hooks';
import {type Candidate} from '../../choice/index.js';
import {notRun} from '../../verdict/index.js';
import {isAccessValid, updateAccess, type Access} from '../../workspace/index.js';
import {type AttemptOutcome, getForwardedHeaders} from '../servers/index.js';
import {
	fail, protect, refuse, type AttemptKind, type RequestProgress, type RunningAttempt,
} from './request-progress.js';

/** Starts an attempt on a server. */
export type AttemptStart = (progress: RequestProgress, candidate: Candidate, kind: AttemptKind) => void;

/** Options of `startServerAttempt`. */
export type ServerAttemptOptions = {
	readonly progress: RequestProgress;
	readonly candidate: Candidate;
	readonly kind: AttemptKind;
	/** Called with the outcome of the attempt; the attempt still counts as running. */
	onOutcome(progress: RequestProgress, runningAttempt: RunningAttempt, outcome: AttemptOutcome): void;
};

/**
 * Starts an attempt, or refuses the request if the server has been removed meanwhile.
 * @param options - Request, server and receiver of the outcome.
 */
export function startServerAttempt(options: ServerAttemptOptions): void {
	const {
		progress, candidate, kind, onOutcome,
	} = options;
	const {admitted} = progress;
	const {
		context, request, requestId, deadlineAt,
	} = admitted;
	const now = performance.now();
	const server = context.fleet.get(candidate.id);
	if (server === undefined) {
		refuse(progress, notRun('no-server'));
		return;
	}

	const access = updateAccess(context.getWorkspaces(), admitted.access, {
		key: admitted.exchange.request.headers[context.dialect.keyHeader], isPublic: admitted.route.isPublic,
	});
	if (access.kind === 'denied') {
		refuse(progress, notRun('unknown-key'));
		return;
	}

	if (admitted.token?.isValid(now) === false) {
		refuse(progress, notRun('quota-unavailable'));
		return;
	}

	const headers = getForwardedHeaders({
		dialect: context.dialect,
		incoming: admitted.exchange.request,
		requestId,
		access,
		server: candidate.getAnnouncement().name,
		remainingMilliseconds: deadlineAt - now,
		body: request.body,
		isStreamed: request.stream !== undefined,
	});
	progress.attempts++;
	progress.excluded.add(candidate.id);
	context.metrics.countAttempt(admitted.service.name, kind);
	candidate.start(now);
	admitted.recordDecision({
		kind: 'send', attempt: kind, server: candidate.getAnnouncement().name, leftMilliseconds: Math.round(deadlineAt - now),
	});
	const attempt = context.startAttempt({
		pool: server.pool,
		dialect: context.dialect,
		requestId,
		method: request.method,
		target: request.target,
		headers,
		body: request.body,
		stream: request.stream,
		deadlineAt,
		maximumBufferedBytes: context.maximumBufferedBytes,
		bufferedResponses: context.bufferedResponses,
		maximumBodyBytes: context.maximumBodyBytes,
		mayDispatch: () => mayDispatch(progress, access) && isTokenUsed(progress, candidate),
		hasServerWithdrawn: () => candidate.hasWithdrawn(performance.now()),
		onReport(hints) {
			context.onReport(candidate, hints);
		},
		onDiscard(answer) {
			context.discardedAnswers.record(candidate, answer);
		},
		onError(error) {
			fail(progress, error);
		},
		onEnd(outcome) {
			protect(progress, () => {
				onOutcome(progress, runningAttempt, outcome);
			});
		},
	});
	const runningAttempt: RunningAttempt = {
		attempt, candidate, kind, startedAt: now,
	};
	progress.running.add(runningAttempt);
}

/** Uses the token of a request that is about to be sent. A server that has withdrawn gets no request, so none is used for it. */
function isTokenUsed({admitted: {token}}: RequestProgress, candidate: Candidate): boolean {
	const now = performance.now();
	return token === undefined || candidate.hasWithdrawn(now) || token.tryUse(now);
}

/**
 * Checks whether an attempt of a request may be dispatched now.
 * @param progress - Progress of the request.
 * @param access - Access for which the attempt was prepared.
 */
export function mayDispatch({admitted, isSettled}: RequestProgress, access: Access = admitted.access): boolean {
	const now = performance.now();
	const {context, deadlineAt} = admitted;
	return !isSettled && context.mayDispatch(now) && now < deadlineAt && isAccessValid(context.getWorkspaces(), access);
}
