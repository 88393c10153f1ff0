/**
 * Frames of messages between processes: a big-endian 32-bit header with the length of the payload, then the payload,
 * which is a CBOR item. The length is checked against its limit as soon as the header has arrived, so that no
 * oversized payload is buffered.
 * Long payloads are compressed, because documents with hundreds of routes can change several times a second and are sent
 * to every host, including over expensive links between zones. The highest bit of the header marks a compressed payload.
 */
import {Buffer} from 'node:buffer';
import {constants, deflateRawSync, inflateRawSync} from 'node:zlib';
import {Encoder} from 'cbor-x';

/** Maximum payload of one frame in bytes. */
export const maximumFrameBytes = 64 * 1024 * 1024;

/** Maximum payload in bytes that is accepted before the peer has proved possession of the shared key. */
export const maximumHandshakeBytes = 4096;

/** Minimum payload in bytes that is compressed; for shorter ones, the savings are not worth the processor time. */
const compressionThresholdBytes = 2048;

/** Bit of the header that marks a compressed payload. */
const compressedFlag = 0x80_00_00_00;

const headerBytes = 4;
const encoder = new Encoder({useRecords: false, mapsAsObjects: true, tagUint8Array: false});

/** Thrown for a frame that exceeds the size limit, cannot be decompressed or is not valid CBOR. */
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
 * @param bytes - One complete CBOR item.
 */
export function decode(bytes: Uint8Array): unknown {
	return encoder.decode(bytes);
}

/**
 * Encodes a message as one frame.
 * @param message - Message to send.
 * @throws FrameError when the payload exceeds `maximumFrameBytes` before compression.
 */
export function encodeFrame(message: unknown): Buffer {
	const payload = encode(message);
	if (payload.length > maximumFrameBytes) {
		throw new FrameError(`frame payload of ${payload.length} bytes exceeds the limit of ${maximumFrameBytes} bytes`);
	}

	return payload.length < compressionThresholdBytes ? createFrame(payload, 0) : createFrame(deflateRawSync(payload, {level: constants.Z_BEST_SPEED}), compressedFlag);
}

function createFrame(payload: Buffer, headerFlag: number): Buffer {
	const frame = Buffer.allocUnsafe(headerBytes + payload.length);
	frame.writeUInt32BE(payload.length + headerFlag, 0);
	payload.copy(frame, headerBytes);
	return frame;
}

/** Incremental decoder that splits a stream of bytes into messages. */
export type FrameReader = {
	/** Adds bytes and returns the messages that are now complete; throws FrameError for a malformed frame. */
	push(chunk: Buffer): readonly unknown[];
	/** Sets the maximum payload in bytes that is accepted from now on, also after decompression. */
	setMaximumPayloadBytes(bytes: number): void;
};

/**
 * Creates a reader of frames.
 * @param initialMaximumPayloadBytes - Maximum accepted payload in bytes, until another one is set.
 */
export function createFrameReader(initialMaximumPayloadBytes = maximumFrameBytes): FrameReader {
	let maximumPayloadBytes = initialMaximumPayloadBytes;
	let chunks: Buffer[] = [];
	let bufferedBytes = 0;

	/** Reads the header of the next frame without consuming it; undefined until all of its bytes have arrived. */
	function peekHeader(): {readonly length: number; readonly isCompressed: boolean} | undefined {
		if (bufferedBytes < headerBytes) {
			return undefined;
		}

		if (chunks[0]!.length < headerBytes) {
			chunks = [Buffer.concat(chunks)];
		}

		const header = chunks[0]!.readUInt32BE(0);
		const isCompressed = header >= compressedFlag;
		const length = isCompressed ? header - compressedFlag : header;
		if (length > maximumPayloadBytes) {
			throw new FrameError(`frame payload of ${length} bytes exceeds the limit of ${maximumPayloadBytes} bytes`);
		}

		return {length, isCompressed};
	}

	function readPayload(length: number, isCompressed: boolean): unknown {
		const buffered = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
		const end = headerBytes + length;
		const payload = buffered.subarray(headerBytes, end);
		chunks = buffered.length > end ? [buffered.subarray(end)] : [];
		bufferedBytes = buffered.length - end;
		try {
			return decode(isCompressed ? inflateRawSync(payload, {maxOutputLength: maximumPayloadBytes}) : payload);
		} catch {
			throw new FrameError(`frame payload is not valid CBOR, cannot be decompressed or exceeds the limit of ${maximumPayloadBytes} bytes after decompression`);
		}
	}

	return {
		push(chunk) {
			chunks.push(chunk);
			bufferedBytes += chunk.length;
			const messages: unknown[] = [];
			for (let header = peekHeader(); header !== undefined && bufferedBytes >= headerBytes + header.length; header = peekHeader()) {
				messages.push(readPayload(header.length, header.isCompressed));
			}

			return messages;
		},
		setMaximumPayloadBytes(bytes) {
			maximumPayloadBytes = bytes;
		},
	};
}
