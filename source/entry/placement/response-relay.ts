/** Passes the response of a server on to the caller: whole if it was held, else as a stream. Large ones leave as the link carries them. */
import {type Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {type LinkUse} from '../../link/index.js';
import {mayHaveRun} from '../../verdict/index.js';
import {type AdmittedRequest} from '../requests/index.js';
import {type AttemptResponse, type LargeResponse, type WholeResponse} from '../servers/index.js';
import {
	countBody, endsWithConnection, paceBody, streamResponse, writeResponseHead,
} from '../callers/index.js';
import {getContentLength, type ResponseHead} from '../http/index.js';

const minimumErrorStatus = 400;

/**
 * Passes a response on to the caller and ends the request.
 * @param admitted - Answered request.
 * @param outcome - Response of the server.
 */
export function relayResponse(admitted: AdmittedRequest, outcome: AttemptResponse): void {
	if (outcome.kind === 'whole') {
		sendBufferedResponse(admitted, outcome);
	} else {
		sendStreamedResponse(admitted, outcome);
	}
}

function sendBufferedResponse(admitted: AdmittedRequest, outcome: WholeResponse): void {
	const {context, exchange, requestId} = admitted;
	const {response} = exchange;
	const {head, body} = outcome;
	admitted.claim?.finish(body.length <= context.maximumStoredBytes ? {status: head.status, headers: head.headers, body} : undefined);
	if (response.destroyed) {
		admitted.onEnd({kind: 'ran', status: head.status});
		return;
	}

	const headWithLength = addLength(head, body);
	writeResponseHead(context.dialect, response, headWithLength, requestId, exchange.decideClose(headWithLength.isCloseDelimited));
	const linkUse = body.length === 0 ? undefined : getLinkUse(admitted, head);
	if (linkUse === undefined) {
		context.link?.recordSmall(body.length);
		response.end(body);
		admitted.onEnd({kind: 'ran', status: head.status});
		return;
	}

	const target = paceBody({
		response, use: linkUse, reservation: outcome.reservation, size: body.length, isFramed: true, deadlineAt: admitted.deadlineAt,
	});
	target.write(body);
	target.end();
	endWithResponse(admitted, head.status);
}

function sendStreamedResponse(admitted: AdmittedRequest, outcome: LargeResponse): void {
	const {
		context, exchange, requestId, deadlineAt,
	} = admitted;
	const {response} = exchange;
	const {
		head, firstChunks: chunks, rest, completion, reservation,
	} = outcome;
	admitted.claim?.finish(undefined);
	const isFramed = !endsWithConnection(response, head);
	writeResponseHead(context.dialect, response, head, requestId, exchange.decideClose(!isFramed));
	const linkUse = getLinkUse(admitted, head);
	const target = linkUse === undefined
		? countBody(response, context.link)
		: paceBody({
			response, use: linkUse, reservation, size: getContentLength(rest), isFramed, deadlineAt,
		});
	streamResponse({
		response, target, chunks, rest, completion, isFramed, deadlineAt, maximumBytes: context.maximumResponseBytes, onEnd(isComplete) {
			if (!isComplete) {
				admitted.onEnd(mayHaveRun('answer-truncated'));
			} else if (linkUse === undefined) {
				admitted.onEnd({kind: 'ran', status: head.status});
			} else {
				endWithResponse(admitted, head.status);
			}
		},
	});
}

/** Gets the use of the link by a response; that of an error is small. */
function getLinkUse({linkUse}: AdmittedRequest, {status}: ResponseHead): LinkUse | undefined {
	return status < minimumErrorStatus ? linkUse : undefined;
}

/** Ends a request when its caller has got the complete response, or is gone. */
function endWithResponse({exchange: {response}, deadlineAt, onEnd}: AdmittedRequest, status: number): void {
	function end(): void {
		if (response.writableFinished) {
			onEnd({kind: 'ran', status});
		} else {
			onEnd(mayHaveRun(performance.now() < deadlineAt ? 'caller-left' : 'deadline'));
		}
	}

	if (response.closed) {
		end();
	} else {
		response.once('close', end);
	}
}

/** Adds a length to the head of a complete body that has none, so that the connection to the caller stays open. */
function addLength(head: ResponseHead, body: Buffer): ResponseHead {
	return head.isCloseDelimited
		? {...head, headers: [...head.headers, 'content-length', String(body.length)], isCloseDelimited: false}
		: head;
}

/**
 * Gives up a response that is not passed on.
 * @param outcome - Response of the server.
 */
export function discardResponse(outcome: AttemptResponse): void {
	if (outcome.kind === 'large') {
		outcome.rest.destroy();
	}
}
