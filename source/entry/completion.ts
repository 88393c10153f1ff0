/**
 * Tells whether an answer that ended is whole. The end of an answer without a length is
 * told by its connection alone, and a reset connection has cut it short. Node takes a
 * reset for an orderly end when it comes together with the last bytes; then the socket has
 * no peer any more, which a connection that was closed in order still has.
 */
import {type IncomingMessage} from 'node:http';

/** How an answer ends. */
export type ResponseCompletion = {
	/** Checks, once the answer has ended, whether it did not break off. */
	isComplete(): boolean;
};

/**
 * Watches the end of an answer.
 * @param answer - Answer of a server whose head has arrived.
 * @param isUnmeasured - Whether only the end of its connection tells the end of its body.
 */
export function trackCompletion(answer: IncomingMessage, isUnmeasured: boolean): ResponseCompletion {
	const {socket} = answer;
	let hasPeerAtEnd = false;
	if (isUnmeasured) {
		// The peer is asked for at this moment: Node keeps the first answer.
		socket.prependOnceListener('end', () => {
			hasPeerAtEnd = socket.remotePort !== undefined;
		});
	}

	return {
		isComplete: () => answer.complete && (!isUnmeasured || (socket.readableEnded && socket.errored === null && hasPeerAtEnd)),
	};
}
