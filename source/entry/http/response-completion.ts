/**
 * Detects responses that are truncated or contain bytes of another one. The end of the connection marks the end of a close-delimited
 * response, so a connection that is reset may have truncated it, and another response may be written into it. Node emits `end` and no
 * error for a reset that arrives together with the last bytes; unlike after an orderly close, the socket then has no peer address.
 */
import {type Buffer} from 'node:buffer';
import {type ClientRequest, type IncomingMessage} from 'node:http';
import {type Dialect} from '../dialect.js';
import {createResponseFinder} from './response-finder.js';

/** Completeness of a response. */
export type ResponseCompletion = {
	/** Checks whether an ended response was received completely, and nothing else with it. */
	isComplete(): boolean;
	/** Checks whether the body contains the head of a response. */
	containsResponse(): boolean;
};

/** Response whose head has arrived and whose body may be incomplete. */
export type ReceivedResponse = {
	readonly dialect: Dialect;
	readonly request: ClientRequest;
	readonly response: IncomingMessage;
	/** Whether only the end of the connection marks the end of the body. */
	readonly isCloseDelimited: boolean;
};

/**
 * Tracks whether a response is received completely.
 * @param received - Response of a server.
 */
export function trackCompletion(received: ReceivedResponse): ResponseCompletion {
	const {dialect, request, response, isCloseDelimited} = received;
	const {socket} = response;
	const finder = createResponseFinder(dialect.requestIdHeader);
	let hasPeerAtEnd = false;
	let hasSurplus = false;
	// Bytes behind the end of the body that are no response: the body may lack as many of its own.
	request.once('error', () => {
		hasSurplus = true;
	});
	if (isCloseDelimited) {
		// The address must not be read before the end, since Node caches the first peer address that it reads.
		socket.prependOnceListener('end', () => {
			hasPeerAtEnd = socket.remotePort !== undefined;
		});
		response.on('data', (chunk: Buffer) => {
			finder.push(chunk);
		});
	}

	function containsResponse(): boolean {
		return finder.hasFound() || finder.endsInHead();
	}

	function isCompleteWithConnection(): boolean {
		return socket.readableEnded && socket.errored === null && hasPeerAtEnd && !containsResponse();
	}

	return {
		isComplete: () => response.complete && !hasSurplus && (!isCloseDelimited || isCompleteWithConnection()),
		containsResponse,
	};
}
