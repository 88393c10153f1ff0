/**
 * Passes the body of a server's response on to a caller as fast as the caller takes it. Chunks are copied together before they
 * are written, so that what waits for a slow caller takes little more memory than its size. Node's own pipe would keep thousands
 * of tiny chunks, each in a buffer of its own. The last byte is held back until the body is known to be complete, so that a body with a
 * length never looks complete before.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {createByteCollector} from '../../bytes/index.js';
import {maximumTurnBytes, setPaused} from '../http/index.js';
import {type BodyTarget} from './body-target.js';

/** Relay of a body. */
export type BodyRelay = {
	/** Adds a chunk that was received before the relay started. */
	add(chunk: Buffer): void;
	/** Writes all received bytes, because the body is complete. */
	flush(): void;
};

/**
 * Relays the body of a response until it ends.
 * @param source - Response of a server.
 * @param target - Receiver of the body.
 */
export function relayBody(source: IncomingMessage, target: BodyTarget): BodyRelay {
	let collector = createByteCollector();
	let isFlushScheduled = false;
	let isBlocked = false;
	const {socket} = source;

	function takeParts(): readonly Buffer[] {
		const parts = collector.getParts();
		collector = createByteCollector();
		return parts;
	}

	function write(part: Buffer): void {
		isBlocked = !target.write(part) || isBlocked;
	}

	function flush(): void {
		for (const part of takeParts()) {
			write(part);
		}
	}

	function flushAllButLastByte(): void {
		const parts = takeParts();
		for (const part of parts.slice(0, -1)) {
			write(part);
		}

		const lastPart = parts.at(-1) ?? Buffer.alloc(0);
		if (lastPart.length > 1) {
			write(lastPart.subarray(0, -1));
		}

		collector.add(lastPart.subarray(-1));
	}

	/** Writes what was received in one turn of the event loop, and reads on if the caller keeps up. */
	function flushTurn(): void {
		isFlushScheduled = false;
		if (isBlocked || target.destroyed) {
			return;
		}

		flushAllButLastByte();
		if (!isBlocked && !source.complete) {
			setPaused(socket, false);
		}
	}

	function scheduleFlush(): void {
		if (!isFlushScheduled) {
			isFlushScheduled = true;
			setImmediate(flushTurn);
		}
	}

	source.on('data', (chunk: Buffer) => {
		collector.add(chunk);
		if (isBlocked || collector.getSize() > maximumTurnBytes) {
			setPaused(socket, true);
		}

		scheduleFlush();
	});
	source.once('end', () => {
		// The connection may be used again.
		setPaused(socket, false);
	});
	target.on('drain', () => {
		isBlocked = false;
		scheduleFlush();
	});
	source.resume();

	return {
		add(chunk) {
			collector.add(chunk);
			scheduleFlush();
		},
		flush,
	};
}
