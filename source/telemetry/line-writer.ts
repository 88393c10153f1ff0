/**
 * Writes lines to a file descriptor without ever blocking the loop: at most one write is
 * under way, lines that come meanwhile wait within a bound, and those beyond it are left
 * out and counted. A reader that stalls costs lines, not requests.
 */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';

/** Bytes that may wait for a reader. */
const largestBacklogBytes = 262_144;

/** Writes one chunk; the callback gets the bytes that were written. */
export type ChunkWriter = (chunk: Buffer, done: (error: Error | null, written: number) => void) => void;

/** Writes lines. */
export type LineWriter = {
	/** Writes a line that ends with a line break, or leaves it out while too many wait. */
	write(line: string): void;
	/** Gets the number of lines that were left out. */
	getLostCount(): number;
};

/**
 * Gets a function that writes to a file descriptor in the background.
 * @param descriptor - Open file descriptor.
 */
export function getDescriptorWriter(descriptor: number): ChunkWriter {
	return (chunk, done) => {
		write(descriptor, chunk, 0, chunk.length, null, done);
	};
}

/**
 * Creates a writer of lines.
 * @param writeChunk - Writes one chunk in the background.
 */
export function createLineWriter(writeChunk: ChunkWriter): LineWriter {
	let waiting: string[] = [];
	let waitingBytes = 0;
	let lost = 0;
	let toldLost = 0;
	let isWriting = false;

	function flush(): void {
		if (isWriting || waiting.length === 0) {
			return;
		}

		const notice = lost === toldLost ? '' : `{"level":40,"lost":${lost - toldLost},"msg":"lines were left out, because the reader of this log stalled"}\n`;
		toldLost = lost;
		const chunk = Buffer.from(notice + waiting.join(''));
		waiting = [];
		waitingBytes = 0;
		isWriting = true;
		send(chunk);
	}

	function send(chunk: Buffer): void {
		writeChunk(chunk, (error, written) => {
			const rest = error === null ? chunk.subarray(written) : chunk.subarray(chunk.length);
			if (rest.length > 0) {
				send(rest);
				return;
			}

			// A reader that is gone takes no line; there is nobody left to tell.
			lost += error === null ? 0 : 1;
			isWriting = false;
			flush();
		});
	}

	return {
		write(line) {
			if (waitingBytes + line.length > largestBacklogBytes) {
				lost++;
				return;
			}

			waiting.push(line);
			waitingBytes += line.length;
			flush();
		},
		getLostCount: () => lost,
	};
}
