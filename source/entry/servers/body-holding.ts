/** Reads the body of a response, and holds it until it is complete or too large to be held. */
import {type Buffer} from 'node:buffer';
import {type ClientRequest, type IncomingMessage} from 'node:http';
import {createByteCollector, type ByteReservation} from '../../bytes/index.js';
import {
	joinChunks, trackCompletion, type ResponseHead, limitTurns,
} from '../http/index.js';
import {type Dialect} from '../dialect.js';
import {type FailureReason} from './attempt-failure.js';
import {type AttemptResponse} from './attempt-outcome.js';

/** Options of `holdBody`. */
export type BodyHoldingOptions = {
	readonly dialect: Dialect;
	readonly request: ClientRequest;
	readonly response: IncomingMessage;
	readonly head: ResponseHead;
	readonly maximumBufferedBytes: number;
	/** Reservation in the budget of all buffered responses. */
	readonly reservation: ByteReservation;
	/** Called with the response when it is complete or too large. */
	onResponse(response: AttemptResponse): void;
	/** Called when the response is not complete, also after it was too large. */
	onFailure(reason: FailureReason): void;
};

/**
 * Starts to read the body of a response.
 * @param options - Response, limits and callbacks.
 */
export function holdBody(options: BodyHoldingOptions): void {
	const {
		dialect, request, response, head, reservation,
	} = options;
	const completion = trackCompletion({
		dialect, request, response, isCloseDelimited: head.isCloseDelimited,
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
			options.onResponse({
				kind: 'large', head, firstChunks: collector.getParts(), rest: response, completion, reservation,
			});
		}
	}

	function onEnd(): void {
		if (!completion.isComplete()) {
			options.onFailure(completion.containsResponse() ? 'answer-mismatched' : 'answer-truncated');
			return;
		}

		const body = collector.toBuffer();
		const isChunked = response.headers['transfer-encoding'] !== undefined;
		const headers = isChunked ? [...head.headers, 'content-length', String(body.length)] : head.headers;
		options.onResponse({
			kind: 'whole', head: {...head, headers}, body, reservation,
		});
	}

	function onTruncation(): void {
		options.onFailure('answer-truncated');
	}

	response.on('data', onData);
	response.once('end', onEnd);
	response.once('error', onTruncation);
	response.once('aborted', onTruncation);
}
