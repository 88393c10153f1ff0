/**
 * Detects truncated responses. A close-delimited response ends with its connection, so a
 * reset truncates it. Node reports a reset that arrives together with the last bytes as an
 * orderly end; the socket then has no peer address, unlike a connection closed in order.
 */
import {type IncomingMessage} from 'node:http';

/** Completeness of a response. */
export type ResponseCompletion = {
	/** Checks whether an ended response was received completely. */
	isComplete(): boolean;
};

/**
 * Tracks whether a response is received completely.
 * @param response - Response of a server whose head has arrived.
 * @param isCloseDelimited - Whether only the end of the connection marks the end of the body.
 */
export function trackCompletion(response: IncomingMessage, isCloseDelimited: boolean): ResponseCompletion {
	const {socket} = response;
	let hasPeerAtEnd = false;
	if (isCloseDelimited) {
		// Read at this moment and not before, since Node caches the first peer address that it reads.
		socket.prependOnceListener('end', () => {
			hasPeerAtEnd = socket.remotePort !== undefined;
		});
	}

	return {
		isComplete: () => response.complete && (!isCloseDelimited || (socket.readableEnded && socket.errored === null && hasPeerAtEnd)),
	};
}
