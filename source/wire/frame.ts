/**
 * Frames messages between the system's processes: a big-endian 32-bit length, then
 * a CBOR item. The length is bounded before any byte of the payload is kept. Load
 * pattern: documents with hundreds of routes that change several times a second and go
 * to every host, over links between zones that are dear; a long payload is compressed,
 * which the highest bit of its length tells.
 */
import {Buffer} from 'node:buffer';
import {constants, deflateRawSync, inflateRawSync} from 'node:zlib';
import {Encoder} from 'cbor-x';

/** Largest payload of one frame in bytes. */
export const maximumFrameBytes = 64 * 1024 * 1024;

/** Largest payload accepted before the peer has proved that it holds the shared key, in bytes. */
export const maximumHandshakeBytes = 4096;

/** Payloads from this length on are compressed, in bytes; below it the saving is not worth the time. */
const compressedFromBytes = 2048;

/** Bit of the length that tells that the payload is compressed. */
const compressedBit = 0x80_00_00_00;

const lengthBytes = 4;
const encoder = new Encoder({useRecords: false, mapsAsObjects: true, tagUint8Array: false});

/** Raised for a frame that is too large or is not valid CBOR. */
export class FrameError extends Error {
	override readonly name = 'FrameError';
}

/**
 * Encodes a value as CBOR.
 * @param value - Plain data to encode.
 */
export function encode(value: unknown): Buffer {
	return encoder.encode(value);
}

/**
 * Decodes CBOR.
 * @param bytes - One whole CBOR item.
 */
export function decode(bytes: Uint8Array): unknown {
	return encoder.decode(bytes);
}

/**
 * Encodes a message as one frame.
 * @param message - Message to send.
 * @throws FrameError when the payload exceeds the frame bound.
 */
export function encodeFrame(message: unknown): Buffer {
	const payload = encode(message);
	if (payload.length > maximumFrameBytes) {
		throw new FrameError(`a frame of ${payload.length} bytes exceeds ${maximumFrameBytes}`);
	}

	return payload.length < compressedFromBytes ? join(payload, 0) : join(deflateRawSync(payload, {level: constants.Z_BEST_SPEED}), compressedBit);
}

function join(payload: Buffer, flag: number): Buffer {
	const frame = Buffer.allocUnsafe(lengthBytes + payload.length);
	frame.writeUInt32BE(payload.length + flag, 0);
	payload.copy(frame, lengthBytes);
	return frame;
}

/** Splits a stream of bytes into messages. */
export type FrameReader = {
	/** Adds bytes and returns the messages that they complete; throws FrameError on a malformed frame. */
	push(chunk: Buffer): readonly unknown[];
	/** Sets the largest payload in bytes that is accepted from now on. */
	setBound(bytes: number): void;
};

/**
 * Creates a reader of frames.
 * @param initialBound - Largest accepted payload in bytes.
 */
export function createFrameReader(initialBound = maximumFrameBytes): FrameReader {
	let bound = initialBound;
	let chunks: Buffer[] = [];
	let size = 0;

	/** Gets the length of the next payload, with the bit that tells whether it is compressed. */
	function peekHeader(): {readonly length: number; readonly isCompressed: boolean} | undefined {
		if (size < lengthBytes) {
			return undefined;
		}

		if (chunks[0]!.length < lengthBytes) {
			chunks = [Buffer.concat(chunks)];
		}

		const header = chunks[0]!.readUInt32BE(0);
		const isCompressed = header >= compressedBit;
		const length = isCompressed ? header - compressedBit : header;
		if (length > bound) {
			throw new FrameError(`a frame of ${length} bytes exceeds ${bound}`);
		}

		return {length, isCompressed};
	}

	function take(length: number, isCompressed: boolean): unknown {
		const all = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
		const end = lengthBytes + length;
		const payload = all.subarray(lengthBytes, end);
		chunks = all.length > end ? [all.subarray(end)] : [];
		size = all.length - end;
		try {
			return decode(isCompressed ? inflateRawSync(payload, {maxOutputLength: bound}) : payload);
		} catch {
			throw new FrameError('a frame is not valid CBOR, or longer than the bound');
		}
	}

	return {
		push(chunk) {
			chunks.push(chunk);
			size += chunk.length;
			const messages: unknown[] = [];
			for (let header = peekHeader(); header !== undefined && size >= lengthBytes + header.length; header = peekHeader()) {
				messages.push(take(header.length, header.isCompressed));
			}

			return messages;
		},
		setBound(bytes) {
			bound = bytes;
		},
	};
}
