/**
 * Collects the chunks of a body. A chunk of a few bytes takes hundreds of bytes of memory, or as much as the larger buffer that it
 * is a part of. Such chunks are copied together, so that a body takes little more memory than its size however its sender
 * divides it.
 */
import {Buffer} from 'node:buffer';

/** Minimum size in bytes of a chunk that is kept as it is, if it fills most of its buffer. */
const minimumKeptBytes = 4096;

/** Size in bytes of the blocks into which other chunks are copied. */
const blockBytes = 8192;

/** Collector of the chunks of one body. */
export type ByteCollector = {
	/** Adds a chunk. */
	add(chunk: Buffer): void;
	/** Gets the number of bytes that were added. */
	getSize(): number;
	/** Gets the number of bytes of memory that the collector keeps. */
	getHeldBytes(): number;
	/** Gets the bytes that were added, in a few large parts. */
	getParts(): readonly Buffer[];
	/** Gets the bytes that were added as one buffer. */
	toBuffer(): Buffer;
};

/** Creates a collector without bytes. */
export function createByteCollector(): ByteCollector {
	const parts: Buffer[] = [];
	let block = Buffer.alloc(0);
	/** Range of the block that was filled since the last part. */
	let start = 0;
	let end = 0;
	let size = 0;
	let heldBytes = 0;

	function closePart(): void {
		if (end > start) {
			parts.push(block.subarray(start, end));
			start = end;
		}
	}

	function copy(chunk: Buffer): void {
		for (let offset = 0; offset < chunk.length;) {
			if (end === block.length) {
				closePart();
				block = Buffer.allocUnsafeSlow(blockBytes);
				heldBytes += blockBytes;
				start = 0;
				end = 0;
			}

			const copiedBytes = chunk.copy(block, end, offset);
			offset += copiedBytes;
			end += copiedBytes;
		}
	}

	return {
		add(chunk) {
			size += chunk.length;
			if (chunk.length < minimumKeptBytes || chunk.length * 2 < chunk.buffer.byteLength) {
				copy(chunk);
				return;
			}

			closePart();
			parts.push(chunk);
			heldBytes += chunk.buffer.byteLength;
		},
		getSize: () => size,
		getHeldBytes: () => heldBytes,
		getParts() {
			closePart();
			return parts;
		},
		toBuffer() {
			closePart();
			return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
		},
	};
}
