/**
 * Writes the body of a large response as fast as the link of the entry and the caller take it. What a server sends meanwhile is kept
 * up to a limit and within the budget of buffered responses, so that a slow caller does not occupy the server.
 */
import {type Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {type ByteReservation} from '../../bytes/index.js';
import {type LinkUse} from '../../link/index.js';
import {breakOff} from './break-off.js';
import {type BodyTarget} from './body-target.js';

/** Maximum number of bytes of one response that are read ahead of its caller. */
const maximumReadAheadBytes = 1_048_576;

/** Share of the limit below which a server is read again. */
const resumeShare = 0.5;

/** Options of `paceBody`. */
export type PacedBodyOptions = {
	readonly response: ServerResponse;
	readonly use: LinkUse;
	/** Reservation for the bytes that are kept; it may cover some already. */
	readonly reservation: ByteReservation;
	/** Size of the body in bytes, if it is known. */
	readonly size: number | undefined;
	/** Whether the caller sees the end of the body by its length or its last chunk. */
	readonly isFramed: boolean;
	/** Time in milliseconds by which the response must have ended. */
	readonly deadlineAt: number;
};

/**
 * Creates the receiver of a body whose head is written.
 * @param options - Response to the caller, its use of the link, and limits.
 */
export function paceBody(options: PacedBodyOptions): BodyTarget {
	const {
		response, use, reservation, isFramed,
	} = options;
	const parts: Buffer[] = [];
	const drainListeners: Array<() => void> = [];
	let keptBytes = 0;
	let isFull = false;
	let isEnded = false;

	const timer = setTimeout(() => {
		breakOff(response, isFramed);
	}, Math.max(0, options.deadlineAt - performance.now()));

	function takePart(maximumBytes: number): Buffer {
		const part = parts[0]!;
		if (part.length <= maximumBytes) {
			parts.shift();
			return part;
		}

		parts[0] = part.subarray(maximumBytes);
		return part.subarray(0, maximumBytes);
	}

	function writePart(part: Buffer): void {
		keptBytes -= part.length;
		if (isEnded && keptBytes === 0) {
			response.end(part);
		} else if (!response.write(part)) {
			use.setBlocked(true);
		}
	}

	function writeBytes(bytes: number): void {
		for (let leftBytes = bytes; leftBytes > 0;) {
			const part = takePart(leftBytes);
			leftBytes -= part.length;
			writePart(part);
		}

		if (isFull && keptBytes <= maximumReadAheadBytes * resumeShare) {
			isFull = false;
			for (const listener of drainListeners) {
				listener();
			}
		}
	}

	response.on('drain', () => {
		use.setBlocked(false);
	});
	response.once('close', () => {
		clearTimeout(timer);
		parts.length = 0;
		keptBytes = 0;
	});
	use.begin(options.size, writeBytes);
	return {
		get destroyed() {
			return response.destroyed;
		},
		write(part) {
			parts.push(part);
			keptBytes += part.length;
			isFull ||= keptBytes > maximumReadAheadBytes || !reservation.tryGrowTo(keptBytes);
			use.offer(part.length);
			return !isFull;
		},
		end() {
			isEnded = true;
			if (keptBytes === 0) {
				response.end();
			}
		},
		on(_event, listener) {
			drainListeners.push(listener);
		},
	};
}
