/**
 * One request of a caller, from its admission to its answer: claims, the choice of
 * servers, the queue, attempts, retries and hedges.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {type AttemptResult, type Candidate} from '../choice/index.js';
import {type Service} from '../configuration/index.js';
import {mayRetry} from '../retry/index.js';
import {mayHaveRun, notRun, type Verdict} from '../verdict/index.js';
import {answerVerdict, writeHead} from './answer.js';
import {startAttempt, type Attempt, type Outcome} from './attempt.js';
import {
	getAnnouncedLength, hasBody, readBody,
} from './body.js';
import {getRequestDigest, type Claim, type Claims} from './claims.js';
import {type Fleet, type ServiceState} from './fleet.js';
import {
	deadlineHeader, getDeadline, getRequestHeaders, requestIdHeader,
} from './headers.js';
import {type EntryMetrics} from './metrics.js';
import {getFingerprint, type Suspects} from './suspects.js';

const maximumKeyLength = 256;

/** What calls share in an entry. */
export type CallContext = {
	readonly zone: string;
	readonly fleet: Fleet;
	readonly claims: Claims;
	readonly suspects: Suspects;
	readonly metrics: EntryMetrics;
	readonly maximumBodyBytes: number;
	readonly maximumHeldBytes: number;
	readonly maximumStoredBytes: number;
	isLeaseValid(now: number): boolean;
	isClosing(): boolean;
	createRequestId(): string;
	/** Takes the end of a call. */
	ended(service: Service, verdict: Verdict, milliseconds: number): void;
};

type Request = {
	readonly method: string;
	readonly target: string;
	readonly key: string | undefined;
	readonly isIdempotent: boolean;
	readonly body: Buffer | undefined;
	readonly stream: IncomingMessage | undefined;
};

type Running = {readonly attempt: Attempt; readonly candidate: Candidate; readonly startedAt: number};

const noZones: ReadonlySet<string> = new Set();

/**
 * Answers a caller's request.
 * @param context - What calls share.
 * @param state - Service of the request.
 * @param incoming - Request of the caller.
 * @param response - Response to the caller.
 */
export async function answerCall(context: CallContext, state: ServiceState, incoming: IncomingMessage, response: ServerResponse): Promise<void> {
	const service = state.getService();
	const startedAt = performance.now();
	const requestId = context.createRequestId();
	const method = incoming.method ?? 'GET';
	const target = incoming.url ?? '/';
	const isIdempotent = service.idempotentMethods.includes(method);
	const key = isIdempotent ? undefined : getKey(incoming, service.keyHeader);
	const deadline = getDeadline(incoming.headers[deadlineHeader], service.deadlineMilliseconds);

	function refuse(verdict: Verdict): void {
		if (!response.headersSent && !response.destroyed) {
			answerVerdict(response, verdict, requestId, context.isClosing() || (hasBody(incoming) && !incoming.complete));
		}

		if (verdict.kind !== 'ran') {
			context.metrics.refused(verdict.reason);
		}

		context.ended(service, verdict, performance.now() - startedAt);
	}

	if (deadline === undefined || (key !== undefined && (key.length === 0 || key.length > maximumKeyLength))) {
		refuse(notRun('bad-request'));
		return;
	}

	if (!context.isLeaseValid(startedAt)) {
		refuse(notRun('lease-expired'));
		return;
	}

	const deadlineAt = startedAt + deadline;
	const prepared = await prepareBody(context, incoming, key !== undefined, response);
	if (prepared.kind === 'refused') {
		refuse(prepared.verdict);
		return;
	}

	const request: Request = {
		method, target, key, isIdempotent, body: prepared.body, stream: prepared.stream,
	};
	const fingerprint = (): string => getFingerprint(request);
	if (context.suspects.isQuarantined(fingerprint)) {
		refuse(notRun('crashes-servers'));
		return;
	}

	let claim: Claim | undefined;
	if (key !== undefined) {
		const body = prepared.body ?? Buffer.alloc(0);
		const outcome = await context.claims.claim({
			service: service.name, key, digest: getRequestDigest(method, target, body), remainingMilliseconds: deadlineAt - performance.now(),
		});
		if (outcome.kind === 'refused') {
			refuse(outcome.verdict);
			return;
		}

		if (outcome.kind === 'replay') {
			const {status, headers, body: stored} = outcome.answer;
			writeHead(response, {status, headers: [...headers, 'guavadeck-replayed', 'true']}, requestId, context.isClosing());
			response.end(stored);
			context.ended(service, {kind: 'ran', status}, performance.now() - startedAt);
			return;
		}

		claim = outcome.claim;
	}

	runCall({
		context, state, service, request, incoming, response, requestId, startedAt, deadlineAt, claim, refuse, fingerprint,
	});
}

type Call = {
	readonly context: CallContext;
	readonly state: ServiceState;
	readonly service: Service;
	readonly request: Request;
	readonly incoming: IncomingMessage;
	readonly response: ServerResponse;
	readonly requestId: string;
	readonly startedAt: number;
	readonly deadlineAt: number;
	readonly claim: Claim | undefined;
	refuse(verdict: Verdict): void;
	fingerprint(): string;
};

/** Attempts a call on servers until it is answered or refused. */
function runCall(call: Call): void {
	const {context, state, service, request, response, deadlineAt} = call;
	const running = new Set<Running>();
	const excluded = new Set<number>();
	let avoidedZones: Set<string> | undefined;
	let attempts = 0;
	let hedgeTimer: NodeJS.Timeout | undefined;
	let isSettled = false;
	let hasDispatched = false;
	let mayHaveRunBefore = false;

	function settle(): boolean {
		if (isSettled) {
			return false;
		}

		isSettled = true;
		clearTimeout(hedgeTimer);
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

	function choose(now: number): Candidate | undefined {
		return state.getChooser().choose({
			candidates: state.getCandidates(), excluded, zone: context.zone, avoidedZones: avoidedZones ?? noZones, now,
		});
	}

	function mayDispatch(): boolean {
		const now = performance.now();
		return !isSettled && context.isLeaseValid(now) && now < deadlineAt;
	}

	function getHeaders(remaining: number): string[] {
		const {method, body, stream} = request;
		const headers = getRequestHeaders(call.incoming);
		const {host, 'content-length': length} = call.incoming.headers;
		headers.push('host', host ?? '', deadlineHeader, String(Math.max(1, Math.round(remaining))), requestIdHeader, call.requestId);
		const address = call.incoming.socket.remoteAddress;
		if (address !== undefined) {
			headers.push('x-forwarded-for', address);
		}

		if (body !== undefined) {
			headers.push('content-length', String(body.length));
		} else if (stream !== undefined) {
			headers.push(...(length === undefined ? ['transfer-encoding', 'chunked'] : ['content-length', length]));
		} else if (method !== 'GET' && method !== 'HEAD') {
			headers.push('content-length', '0');
		}

		return headers;
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
		context.metrics.attempted(service.name, kind);
		candidate.start();
		const attempt = startAttempt({
			pool: server.pool,
			method: request.method,
			target: request.target,
			headers: getHeaders(deadlineAt - now),
			body: request.body,
			stream: request.stream,
			deadlineAt,
			maximumHeldBytes: context.maximumHeldBytes,
			mayDispatch,
			hinted(hints) {
				if (hints.isCold) {
					candidate.turnCold();
				}

				if (hints.load !== undefined) {
					candidate.setReportedLoad(hints.load);
				}
			},
			ended(outcome) {
				end(self, outcome);
			},
		});
		const self: Running = {attempt, candidate, startedAt: now};
		running.add(self);
	}

	function end(self: Running, outcome: Outcome): void {
		running.delete(self);
		hasDispatched ||= self.attempt.wasDispatched();
		mayHaveRunBefore ||= outcome.kind === 'failed' && outcome.verdict.kind === 'mayHaveRun';
		const now = performance.now();
		self.candidate.finish(getResult(outcome), now);
		state.queue.departed(now);
		if (outcome.kind === 'failed') {
			fail(self.candidate, outcome);
		} else {
			succeed(self, outcome, now);
		}

		state.queue.drain(now);
	}

	function succeed(self: Running, outcome: Exclude<Outcome, {readonly kind: 'failed'}>, now: number): void {
		state.hedgeDelay.record(now - self.startedAt);
		if (outcome.head.status >= 500) {
			ejectFailing(self.candidate, now);
		}

		if (!settle()) {
			return;
		}

		cancelRunning();
		context.suspects.succeeded(call.fingerprint);
		if (outcome.kind === 'whole') {
			answerWhole(outcome);
		} else {
			answerLarge(outcome);
		}
	}

	function ejectFailing(candidate: Candidate, now: number): void {
		if (context.fleet.ejectFailing(service.name, candidate, now)) {
			context.metrics.ejected(service.name);
		}
	}

	function answerWhole(outcome: Extract<Outcome, {readonly kind: 'whole'}>): void {
		const {head, body} = outcome;
		call.claim?.finish(body.length <= context.maximumStoredBytes ? {status: head.status, headers: head.headers, body} : undefined);
		if (!response.destroyed) {
			writeHead(response, head, call.requestId, context.isClosing());
			response.end(body);
		}

		context.ended(service, {kind: 'ran', status: head.status}, performance.now() - call.startedAt);
	}

	/** Streams a large answer; a truncated one resets the caller's connection. */
	function answerLarge(outcome: Extract<Outcome, {readonly kind: 'large'}>): void {
		const {head, start: chunks, rest} = outcome;
		call.claim?.finish(undefined);
		writeHead(response, head, call.requestId, context.isClosing());
		for (const chunk of chunks) {
			response.write(chunk);
		}

		const timer = setTimeout(() => {
			rest.destroy();
		}, Math.max(0, deadlineAt - performance.now()));
		response.once('close', () => {
			clearTimeout(timer);
			if (!rest.complete) {
				rest.destroy();
			}
		});
		rest.once('close', () => {
			clearTimeout(timer);
			if (!rest.complete) {
				response.destroy();
			}

			const verdict: Verdict = rest.complete ? {kind: 'ran', status: head.status} : mayHaveRun('answer-truncated');
			context.ended(service, verdict, performance.now() - call.startedAt);
		});
		rest.pipe(response);
	}

	function fail(candidate: Candidate, outcome: Extract<Outcome, {readonly kind: 'failed'}>): void {
		const now = performance.now();
		ejectFailing(candidate, now);
		avoidedZones ??= new Set();
		avoidedZones.add(candidate.getAnnouncement().zone);
		if (!outcome.hasCrashed) {
			retryOrRefuse(outcome.verdict, false);
			return;
		}

		void context.suspects.reportCrash(call.fingerprint(), candidate.id).then(isQuarantined => {
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
			remainingMilliseconds: deadlineAt - performance.now(),
			isQuarantined,
		});
		const candidate = isAllowed ? choose(performance.now()) : undefined;
		if (candidate !== undefined && state.retries.spend()) {
			start(candidate, 'retry');
			return;
		}

		refuse(getFinalVerdict(verdict));
	}

	/** An earlier attempt may have run even if the last one did not. */
	function getFinalVerdict(verdict: Verdict): Verdict {
		return verdict.kind === 'notRun' && mayHaveRunBefore ? mayHaveRun('connection-lost') : verdict;
	}

	function planHedge(): void {
		const isHedged = service.hedgeRatio > 0 && request.isIdempotent && request.stream === undefined;
		if (!isHedged) {
			return;
		}

		state.hedges.earn();
		hedgeTimer = setTimeout(hedge, state.hedgeDelay.getMilliseconds());
	}

	function hedge(): void {
		const candidate = isSettled || running.size !== 1 ? undefined : choose(performance.now());
		if (candidate !== undefined && mayDispatch() && state.hedges.spend()) {
			start(candidate, 'hedge');
		}
	}

	function startFirst(): boolean {
		const candidate = choose(performance.now());
		if (candidate === undefined) {
			return false;
		}

		start(candidate, 'first');
		planHedge();
		return true;
	}

	function wait(): void {
		const isQueued = state.getCandidates().length > 0 && state.queue.add({
			deadlineAt,
			start: startFirst,
			expire() {
				refuse(notRun('deadline'));
			},
			isGone: () => isSettled,
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

	state.retries.earn();
	if (response.destroyed) {
		leave();
	} else if (state.queue.getLength() > 0 || !startFirst()) {
		wait();
	}
}

/** Gets what an outcome says of the server. */
function getResult(outcome: Outcome): AttemptResult {
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

type PreparedBody
	= | {readonly kind: 'ready'; readonly body: Buffer | undefined; readonly stream: IncomingMessage | undefined}
		| {readonly kind: 'refused'; readonly verdict: Verdict};

/** Reads small and claimed bodies into memory; larger ones are left to be streamed. */
async function prepareBody(context: CallContext, incoming: IncomingMessage, isClaimed: boolean, response: ServerResponse): Promise<PreparedBody> {
	if (!hasBody(incoming)) {
		return {kind: 'ready', body: undefined, stream: undefined};
	}

	const announced = getAnnouncedLength(incoming);
	if (Number.isFinite(announced) && announced > context.maximumBodyBytes) {
		return {kind: 'refused', verdict: notRun('body-too-large')};
	}

	if (incoming.headers.expect !== undefined) {
		response.writeContinue();
	}

	if (!isClaimed && announced > context.maximumHeldBytes) {
		return {kind: 'ready', body: undefined, stream: incoming};
	}

	const body = await readBody(incoming, context.maximumBodyBytes);
	switch (body.kind) {
		case 'whole': {
			return {kind: 'ready', body: body.bytes, stream: undefined};
		}

		case 'tooLarge': {
			return {kind: 'refused', verdict: notRun('body-too-large')};
		}

		case 'cut': {
			return {kind: 'refused', verdict: notRun('caller-left')};
		}
	}
}

function getKey(incoming: IncomingMessage, header: string): string | undefined {
	const value = incoming.headers[header];
	return Array.isArray(value) ? value.join(',') : value;
}
