/**
 * Discards the rest of a body that nobody needs any more, so that its connection can be used again. A peer that does not
 * end the body within the limits loses its connection, because it might never end it.
 */
import {type IncomingMessage} from 'node:http';

/** Limits for the rest of a body. */
export type DiscardLimits = {readonly maximumBytes: number; readonly maximumMilliseconds: number};

/** Bytes that each chunk counts in addition to its size, since many tiny chunks take more processor time than their size shows. */
const chunkOverheadBytes = 256;

/** Limits that an ordinary peer does not reach. */
export const discardLimits: DiscardLimits = {maximumBytes: 1_048_576, maximumMilliseconds: 2000};

/**
 * Discards the rest of a body.
 * @param message - Request or response whose body is not needed.
 * @param limits - Limits after which the connection is destroyed.
 */
export function discardBody(message: IncomingMessage, limits: DiscardLimits = discardLimits): void {
	if (message.complete && message.readableEnded) {
		return;
	}

	let discardedBytes = 0;
	const timer = setTimeout(() => {
		message.destroy();
	}, limits.maximumMilliseconds);
	message.on('data', (chunk: Uint8Array) => {
		discardedBytes += chunk.length + chunkOverheadBytes;
		if (discardedBytes > limits.maximumBytes) {
			message.destroy();
		}
	});
	message.on('error', () => {
		// The connection ended within the body, which is not needed.
	});
	message.once('end', () => {
		clearTimeout(timer);
	});
	message.once('close', () => {
		clearTimeout(timer);
	});
	// A destination that closes later would pause the body again.
	message.unpipe();
	message.resume();
}
