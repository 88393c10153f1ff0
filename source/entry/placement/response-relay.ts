/** Passes the response of a server on to the caller: whole if it was held, else as a stream. */
import {type Buffer} from 'node:buffer';
import {mayHaveRun, type Verdict} from '../../verdict/index.js';
import {type AdmittedRequest} from '../requests/index.js';
import {type AttemptResponse, type LargeResponse, type WholeResponse} from '../servers/index.js';
import {endsWithConnection, streamResponse, writeResponseHead} from '../callers/index.js';
import {type ResponseHead} from '../http/index.js';

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
	if (!response.destroyed) {
		const headWithLength = addLength(head, body);
		writeResponseHead(context.dialect, response, headWithLength, requestId, exchange.decideClose(headWithLength.isCloseDelimited));
		response.end(body);
	}

	admitted.onEnd({kind: 'ran', status: head.status});
}

function sendStreamedResponse(admitted: AdmittedRequest, outcome: LargeResponse): void {
	const {
		context, exchange, requestId, deadlineAt,
	} = admitted;
	const {response} = exchange;
	const {
		head, firstChunks: chunks, rest, completion,
	} = outcome;
	admitted.claim?.finish(undefined);
	const isFramed = !endsWithConnection(response, head);
	writeResponseHead(context.dialect, response, head, requestId, exchange.decideClose(!isFramed));
	streamResponse({
		response, chunks, rest, completion, isFramed, deadlineAt, maximumBytes: context.maximumResponseBytes, onEnd(isComplete) {
			const verdict: Verdict = isComplete ? {kind: 'ran', status: head.status} : mayHaveRun('answer-truncated');
			admitted.onEnd(verdict);
		},
	});
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
