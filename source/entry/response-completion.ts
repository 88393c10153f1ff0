/**
 * Detects truncated responses. The end of the connection marks the end of a close-delimited response, so a connection that is
 * reset may have truncated it. Node emits `end` and no error for a reset that arrives together with the last bytes; unlike
 * after an orderly close, the socket then has no peer address.
 */
import {type IncomingMessage} from 'node:http';

/** Completeness of a response. */
export type ResponseCompletion = {
	/** Checks whether an ended response was received completely. */
	isComplete(): boolean;
};

/**
 * Tracks whether a response is received completely.
 * @param response - Server response, whose head has arrived and whose body may be incomplete.
 * @param isCloseDelimited - Whether only the end of the connection marks the end of the body.
 */
export function trackCompletion(response: IncomingMessage, isCloseDelimited: boolean): ResponseCompletion {
	const {socket} = response;
	let hasPeerAtEnd = false;
	if (isCloseDelimited) {
		// The address must not be read before the end, since Node caches the first peer address that it reads.
		socket.prependOnceListener('end', () => {
			hasPeerAtEnd = socket.remotePort !== undefined;
		});
	}

	return {
		isComplete: () => response.complete && (!isCloseDelimited || (socket.readableEnded && socket.errored === null && hasPeerAtEnd)),
	};
}
