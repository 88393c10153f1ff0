/**
 * Attempts a request on one server. The outcome states whether the request may have run; a response counts only when it is complete.
 * Responses up to a size limit are buffered in memory, larger ones are passed on as a stream.
 */
import {type ClientRequest, type IncomingMessage} from 'node:http';
import {performance} from 'node:perf_hooks';
import {createByteReservation, discardBody} from '../../bytes/index.js';
import {mayHaveRun, notRun, type Verdict} from '../../verdict/index.js';
import {isSelfDelimited, type ResponseHead} from '../http/index.js';
import {
	getDiscardReason, indicatesCrash, isParserError, type FailureReason,
} from './attempt-failure.js';
import {type AttemptOptions} from './attempt-options.js';
import {type AttemptOutcome, type AttemptResponse} from './attempt-outcome.js';
import {holdBody} from './body-holding.js';
import {sendBody} from './body-upload.js';
import {type ConnectionHistory} from './connection-history.js';
import {type DiscardReason} from './discarded-answers.js';
import {getResponseHeaders} from './headers.js';
import {watchInterimResponses} from './interim-responses.js';
import {findResponseFault} from './response-check.js';
import {getRepeatedId, isProvenResponse, type ResponseOrigin} from './response-origin.js';
import {startServerRequest} from './server-request.js';

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

	function fail(reason: FailureReason, discardReason = getDiscardReason(reason)): void {
		if (isEnded) {
			return;
		}

		const verdict = getFailureVerdict(reason);
		const hasCrashed = isDispatched && indicatesCrash(reason);
		if (isDispatched && discardReason !== undefined) {
			reportDiscard(discardReason);
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
			sendBody({
				stream: options.stream, request, maximumBytes: options.maximumBodyBytes, onFailure: fail,
			});
		}
	});
	watchInterimResponses(request, fail);
	request.once('error', error => {
		if (isParserError(error)) {
			// The server has answered, so it has not crashed.
			fail('answer-malformed', 'answer-unparsable');
		} else {
			fail('connection-lost');
		}
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
		const {dialect, pool, requestId} = options;
		const origin: ResponseOrigin = {
			dialect, pool, requestId, response,
		};
		const fault = findResponseFault(origin);
		if (fault !== undefined) {
			fail(fault);
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

		holdBody({
			dialect,
			request,
			response,
			head,
			maximumBufferedBytes: options.maximumBufferedBytes,
			reservation,
			onResponse: endWithResponse,
			onFailure: fail,
		});
	}

	function endWithResponse(received: AttemptResponse): void {
		history?.recordAnswer();
		end(received);
		if (received.kind === 'whole') {
			destroyUnfinishedRequest();
		}
	}

	/** Destroys the connection of a request that was answered before it was fully sent, since the connection cannot be reused. */
	function destroyUnfinishedRequest(): void {
		if (!request.writableFinished) {
			request.destroy();
		}
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
