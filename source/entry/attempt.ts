/**
 * Attempts a request on one server. The outcome states whether the request may have run;
 * a response counts only when it is complete. Responses up to a size limit are buffered
 * in memory, larger ones are passed on as a stream.
 */
import {type Buffer} from 'node:buffer';
import {type ClientRequest, type IncomingMessage} from 'node:http';
import {performance} from 'node:perf_hooks';
import {
	createByteCollector, createByteReservation, type ByteBudget, type ByteReservation, discardBody,
} from '../bytes/index.js';
import {mayHaveRun, notRun, type Verdict} from '../verdict/index.js';
import {MalformedBodyError} from './malformed-body-error.js';
import {type ConnectionHistory} from './connection-history.js';
import {type Dialect, type ServerReport} from './dialect.js';
import {type DiscardedAnswer, type DiscardReason} from './discarded-answers.js';
import {joinChunks} from './chunk-joining.js';
import {trackCompletion, type ResponseCompletion} from './response-completion.js';
import {getResponseHeaders} from './headers.js';
import {type Pool} from './pool.js';
import {isWellFormedHead, type ResponseHead} from './response-head.js';
import {
	getRepeatedId, hasRequiredProof, isOwnResponse, isProvenResponse, type ResponseOrigin,
} from './response-origin.js';
import {limitTurns} from './turn-limit.js';
import {startServerRequest} from './server-request.js';

/** Outcome of an attempt. */
export type AttemptOutcome
	= | {readonly kind: 'whole'; readonly head: ResponseHead; readonly body: Buffer; readonly reservation: ByteReservation}
	/** Head and first chunks of a response that is too large to buffer, alone or together with others. */
		| {readonly kind: 'large'; readonly head: ResponseHead; readonly firstChunks: readonly Buffer[]; readonly rest: IncomingMessage; readonly completion: ResponseCompletion; readonly reservation: ByteReservation}
		| {readonly kind: 'failed'; readonly verdict: Verdict; readonly hasCrashed: boolean};

/** Options of an attempt. */
export type AttemptOptions = {
	readonly pool: Pool;
	readonly dialect: Dialect;
	readonly requestId: string;
	readonly method: string;
	readonly target: string;
	/** Alternating names and values. */
	readonly headers: readonly string[];
	readonly body: Buffer | undefined;
	/** Body that is streamed from the caller with back-pressure. */
	readonly stream: IncomingMessage | undefined;
	readonly deadlineAt: number;
	readonly maximumBufferedBytes: number;
	/** Budget of all buffered responses. The receiver of the outcome releases the reservation that it contains. */
	readonly bufferedResponses: ByteBudget;
	/** Maximum size of a streamed body, in bytes. */
	readonly maximumBodyBytes: number;
	/** Checks, in the event loop turn of the write, whether the request may still be dispatched. */
	mayDispatch(): boolean;
	/** Checks, in the same turn, whether the server has withdrawn since it was selected, so that it wants no request. */
	hasServerWithdrawn(): boolean;
	onReport(hints: ServerReport): void;
	/** Called with an answer that does not count. */
	onDiscard?(answer: DiscardedAnswer): void;
	/** Called with an unexpected error while a response is handled; the attempt has been cancelled. */
	onError(error: unknown): void;
	onEnd(outcome: AttemptOutcome): void;
};

/** Reason for a failed attempt. */
type FailureReason = 'deadline' | 'connection-lost' | 'answer-truncated' | 'answer-mismatched' | 'answer-malformed' | 'answer-unproven' | 'bad-request' | 'body-too-large';

/** Reasons for which an answer that was read does not count. */
const discardReasons: ReadonlySet<string> = new Set<DiscardReason>(['answer-malformed', 'answer-mismatched', 'answer-truncated', 'answer-unproven']);

/** Reasons that do not indicate that the server has crashed. */
const harmlessReasons: ReadonlySet<FailureReason> = new Set(['deadline', 'answer-mismatched', 'answer-malformed', 'answer-unproven', 'bad-request', 'body-too-large']);

/** Maximum number of informational responses to one request; a server that sends more never comes to its response. */
const maximumInformationalResponses = 16;

/** A running attempt. */
export type Attempt = {
	/** Cancels the attempt and destroys its connection. */
	cancel(): void;
	/** Checks whether any byte of the request may have reached the server. */
	wasDispatched(): boolean;
};

/**
 * Starts an attempt.
 * @param options - Request, server and event callbacks.
 */
export function startAttempt(options: AttemptOptions): Attempt {
	const started = startServerRequest({
		agent: options.pool.agent, method: options.method, path: options.target, headers: options.headers, setHost: false,
	});
	return started.isOk ? runAttempt(options, started.value) : failUnsendableAttempt(options);
}

/** Fails an attempt whose request cannot be sent, after the caller of `startAttempt` has received the attempt. */
function failUnsendableAttempt(options: AttemptOptions): Attempt {
	const failure = setImmediate(() => {
		options.onEnd({kind: 'failed', verdict: notRun('unsendable'), hasCrashed: false});
	});
	return {
		cancel() {
			clearImmediate(failure);
		},
		wasDispatched: () => false,
	};
}

function runAttempt(options: AttemptOptions, request: ClientRequest): Attempt {
	let isDispatched = false;
	let isEnded = false;
	let isDispatchRefused = false;
	let informationalResponses = 0;
	let history: ConnectionHistory | undefined;
	let answer: IncomingMessage | undefined;
	const reservation = createByteReservation(options.bufferedResponses);
	const timer = setTimeout(() => {
		fail('deadline');
	}, Math.max(0, options.deadlineAt - performance.now()));

	function end(outcome: AttemptOutcome): void {
		if (isEnded) {
			return;
		}

		isEnded = true;
		clearTimeout(timer);
		options.onEnd(outcome);
	}

	function fail(reason: FailureReason): void {
		if (isEnded) {
			return;
		}

		const verdict = getFailureVerdict(reason);
		const hasCrashed = isDispatched && !harmlessReasons.has(reason);
		if (isDispatched && isDiscardReason(reason)) {
			reportDiscard(reason);
		}

		reservation.release();
		end({kind: 'failed', verdict, hasCrashed});
		request.destroy();
	}

	function reportDiscard(reason: DiscardReason): void {
		options.onDiscard?.({
			reason, history, requestId: options.requestId, echoedId: answer === undefined ? undefined : getRepeatedId(options.dialect, answer), status: answer?.statusCode,
		});
	}

	function getFailureVerdict(reason: FailureReason): Verdict {
		if (isDispatchRefused) {
			return notRun(performance.now() < options.deadlineAt ? 'lease-expired' : 'deadline');
		}

		if (!isDispatched) {
			return notRun(reason === 'deadline' ? 'deadline' : 'unreachable');
		}

		return mayHaveRun(reason);
	}

	request.once('socket', socket => {
		// No byte has been written to the socket yet, and none may be after the lease has expired or the server has withdrawn.
		if (isEnded || !options.mayDispatch()) {
			isDispatchRefused = true;
			fail('connection-lost');
			return;
		}

		if (options.hasServerWithdrawn()) {
			end({kind: 'failed', verdict: notRun('server-withdrawn'), hasCrashed: false});
			request.destroy();
			return;
		}

		isDispatched = true;
		history = options.pool.histories.get(socket);
		if (options.stream !== undefined) {
			sendStream(options.stream);
		}
	});
	request.on('information', () => {
		informationalResponses++;
		if (informationalResponses > maximumInformationalResponses) {
			fail('answer-mismatched');
		}
	});
	request.once('error', error => {
		if (isDispatched && !isEnded && isParserError(error)) {
			reportDiscard('answer-unparsable');
		}

		fail('connection-lost');
	});
	request.once('response', response => {
		try {
			receiveResponse(response);
		} catch (error) {
			cancel();
			options.onError(error);
		}
	});
	request.once('close', () => {
		fail('connection-lost');
	});

	function receiveResponse(response: IncomingMessage): void {
		answer = response;
		if (!isWellFormedHead(response)) {
			// Nothing that such a head states is used: neither the load of the server nor that it did not run the request.
			fail('answer-malformed');
			return;
		}

		const {dialect, pool, requestId} = options;
		const origin: ResponseOrigin = {
			dialect, pool, requestId, response,
		};
		if (!isOwnResponse(origin)) {
			fail('answer-mismatched');
			return;
		}

		if (!hasRequiredProof(dialect, response)) {
			fail('answer-unproven');
			return;
		}

		options.onReport(dialect.getReport(response.headers, response.statusCode!));
		const head: ResponseHead = {status: response.statusCode!, headers: getResponseHeaders(dialect, response), isCloseDelimited: !isSelfDelimited(response, options.method)};
		if (dialect.isNotRun(head.status, response.headers)) {
			if (!isProvenResponse(origin)) {
				// A refusal without the id of the request may be an earlier one that the server wrote once more, so it proves nothing.
				fail('answer-mismatched');
				return;
			}

			history?.recordAnswer();
			discardBody(response);
			end({kind: 'failed', verdict: notRun('server-shed'), hasCrashed: false});
			destroyUnfinishedRequest();
			return;
		}

		bufferBody(response, head);
	}

	function bufferBody(response: IncomingMessage, head: ResponseHead): void {
		const completion = trackCompletion({
			dialect: options.dialect, request, response, isCloseDelimited: head.isCloseDelimited,
		});
		const collector = createByteCollector();
		const endTurnLimit = limitTurns(response);
		joinChunks(response);
		function onData(chunk: Buffer): void {
			collector.add(chunk);
			if (collector.getSize() > options.maximumBufferedBytes || !reservation.tryGrowTo(collector.getHeldBytes())) {
				response.off('data', onData);
				response.off('end', onEnd);
				endTurnLimit();
				response.pause();
				history?.recordAnswer();
				end({
					kind: 'large', head, firstChunks: collector.getParts(), rest: response, completion, reservation,
				});
			}
		}

		function onEnd(): void {
			if (!completion.isComplete()) {
				fail(completion.containsResponse() ? 'answer-mismatched' : 'answer-truncated');
				return;
			}

			history?.recordAnswer();
			const body = collector.toBuffer();
			const isChunked = response.headers['transfer-encoding'] !== undefined;
			const headers = isChunked ? [...head.headers, 'content-length', String(body.length)] : head.headers;
			end({
				kind: 'whole', head: {...head, headers}, body, reservation,
			});
			destroyUnfinishedRequest();
		}

		response.on('data', onData);
		response.once('end', onEnd);
		response.once('error', () => {
			fail('answer-truncated');
		});
		response.once('aborted', () => {
			fail('answer-truncated');
		});
	}

	/** Destroys the connection of a request that was answered before it was fully sent, since the connection cannot be reused. */
	function destroyUnfinishedRequest(): void {
		if (!request.writableFinished) {
			request.destroy();
		}
	}

	/** Sends a body from the caller. It stays unread until the server is connected, so that another server can receive it if this one is unreachable. */
	function sendStream(stream: IncomingMessage): void {
		let sentBytes = 0;
		stream.on('data', (chunk: Buffer) => {
			sentBytes += chunk.length;
			if (sentBytes > options.maximumBodyBytes) {
				fail('body-too-large');
			}
		});
		stream.once('error', error => {
			fail(error instanceof MalformedBodyError ? 'bad-request' : 'connection-lost');
		});
		stream.pipe(request);
	}

	if (options.stream === undefined) {
		request.end(options.body);
	}

	function cancel(): void {
		if (!isEnded) {
			isEnded = true;
			clearTimeout(timer);
			reservation.release();
			request.destroy();
		}
	}

	return {cancel, wasDispatched: () => isDispatched};
}

/** Checks whether an error of a connection is that its data cannot be parsed. */
function isParserError({code}: NodeJS.ErrnoException): boolean {
	return code?.startsWith('HPE_') ?? false;
}

function isDiscardReason(reason: FailureReason): reason is FailureReason & DiscardReason {
	return discardReasons.has(reason);
}

/** Checks whether the headers, rather than the end of the connection, mark the end of the body. */
function isSelfDelimited(response: IncomingMessage, method: string): boolean {
	return hasNoBody(response, method) || response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined;
}

/** Checks whether the method or status excludes a body, regardless of the headers. */
function hasNoBody(response: IncomingMessage, method: string): boolean {
	return method === 'HEAD' || response.statusCode === 204 || response.statusCode === 304;
}
