/**
 * Writes lines to a file descriptor without blocking the event loop. At most one write is in progress;
 * lines that arrive meanwhile are buffered up to a limit, beyond which they are dropped and counted.
 * A stalled reader therefore causes lost lines, not delayed requests.
 */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';

/** Maximum size of the lines that are buffered while a write is in progress. */
const maximumBacklogBytes = 262_144;

/** Writes one chunk; the callback receives the number of bytes that were written. */
export type ChunkWriter = (chunk: Buffer, done: (error: Error | null, written: number) => void) => void;

/** Writes lines. */
export type LineWriter = {
	/** Writes a line, which must end with a line break. Drops it if the buffer is full. */
	write(line: string): void;
	/** Gets the number of lines that were dropped. */
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
	let backlog: string[] = [];
	let backlogBytes = 0;
	let lostCount = 0;
	let reportedLostCount = 0;
	let isWriting = false;

	function flush(): void {
		if (isWriting || backlog.length === 0) {
			return;
		}

		const notice = lostCount === reportedLostCount ? '' : `{"level":40,"lost":${lostCount - reportedLostCount},"msg":"log lines were dropped because the reader of the log stalled"}\n`;
		reportedLostCount = lostCount;
		const chunk = Buffer.from(notice + backlog.join(''));
		const lineCount = backlog.length;
		backlog = [];
		backlogBytes = 0;
		isWriting = true;
		send(chunk, lineCount);
	}

	function send(chunk: Buffer, lineCount: number): void {
		writeChunk(chunk, (error, written) => {
			const rest = error === null ? chunk.subarray(written) : chunk.subarray(chunk.length);
			if (rest.length > 0) {
				send(rest, lineCount);
				return;
			}

			// A write fails if the reader has closed its end; all lines of the chunk count as lost, although some may have been written.
			lostCount += error === null ? 0 : lineCount;
			isWriting = false;
			flush();
		});
	}

	return {
		write(line) {
			const bytes = Buffer.byteLength(line);
			if (backlogBytes + bytes > maximumBacklogBytes) {
				lostCount++;
				return;
			}

			backlog.push(line);
			backlogBytes += bytes;
			flush();
		},
		getLostCount: () => lostCount,
	};
}
