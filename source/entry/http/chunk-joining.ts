/**
 * Joins the small chunks of a message as its body is parsed. Node passes each chunk on in a buffer of its own, and a message that
 * nobody reads yet would keep thousands of them.
 */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {createByteCollector} from '../../bytes/index.js';

/** Minimum size in bytes of a chunk that is passed on at once. */
const minimumPassedBytes = 4096;

/**
 * Joins the chunks that arrive in one turn of the event loop, before the message buffers them or emits them.
 * @param message - Request or response whose head has arrived.
 */
export function joinChunks(message: IncomingMessage): void {
	const push = message.push.bind(message);
	let collector = createByteCollector();
	/** The only chunk that has arrived; it is copied if another one follows. */
	let first: Buffer | undefined;

	/** Passes the joined chunks on; returns whether the message takes more. */
	function flush(): boolean {
		const parts = first === undefined ? collector.getParts() : [first];
		collector = createByteCollector();
		first = undefined;
		let takesMore = true;
		for (const part of parts) {
			takesMore = !message.destroyed && push(part);
		}

		return takesMore;
	}

	function add(chunk: Buffer): boolean {
		const isEmpty = first === undefined && collector.getSize() === 0;
		if (isEmpty && chunk.length >= minimumPassedBytes) {
			return push(chunk);
		}

		if (isEmpty) {
			first = chunk;
			// The ticks of Node would run after each chunk.
			setImmediate(() => {
				flush();
			});
			return true;
		}

		if (first !== undefined) {
			collector.add(first);
			first = undefined;
		}

		collector.add(chunk);
		return message.readableLength + collector.getSize() < message.readableHighWaterMark;
	}

	// Node's parser passes the body to this method, and null at its end.
	message.push = (chunk: Buffer | null) => {
		if (chunk === null) {
			flush();
			return push(null);
		}

		return add(chunk);
	};
}
