/**
 * Frames of messages between processes: a big-endian 32-bit header with the length of the payload, then the payload,
 * which is a CBOR item. The length is checked against its limit as soon as the header has arrived, so that no
 * oversized payload is buffered.
 * Long payloads are compressed, because documents with hundreds of routes can change several times a second and are sent
 * to every host, including over expensive links between zones. The highest bit of the header marks a compressed payload.
 */
import {Buffer} from 'node:buffer';
import {constants, deflateRawSync, inflateRawSync} from 'node:zlib';
import {
	checkLength, FrameError, maximumFrameBytes, plainCoding, type PayloadCoding,
} from './payload.js';
import {TemplateError} from './template-changes.js';

export {FrameError, maximumFrameBytes} from './payload.js';

/** Maximum payload in bytes that is accepted before the peer has proved possession of the shared key. */
export const maximumHandshakeBytes = 4096;

/** Bit of the header that marks a compressed payload. */
const compressedFlag = 0x80_00_00_00;

const headerBytes = 4;
/**
 * Encodes a value as CBOR.
 * @param value - Plain data to encode.
 */
export function encode(value: unknown): Buffer {
	return plainCoding.encode(value);
}

/**
 * Decodes CBOR.
 * @param bytes - One complete CBOR item.
 */
export function decode(bytes: Uint8Array): unknown {
	return plainCoding.decode(bytes);
}

/**
 * Encodes a message as one frame.
 * @param message - Message to send.
 * @param coding - Coding of the link; by default that of links that have not agreed on another one.
 * @throws FrameError when the payload exceeds `maximumFrameBytes` before compression.
 */
export function encodeFrame(message: unknown, coding: Omit<PayloadCoding, 'decode'> = plainCoding): Buffer {
	const payload = coding.encode(message);
	checkLength(payload);
	return payload.length < coding.compressionThresholdBytes ? createFrame(payload, 0) : createFrame(deflateRawSync(payload, {level: constants.Z_BEST_SPEED}), compressedFlag);
}

function createFrame(payload: Buffer, headerFlag: number): Buffer {
	const frame = Buffer.allocUnsafe(headerBytes + payload.length);
	frame.writeUInt32BE(payload.length + headerFlag, 0);
	payload.copy(frame, headerBytes);
	return frame;
}

/** Called with each message that is complete, and the length of its frame. */
export type FrameReceiver = (message: unknown, bytes: number) => void;

/** Incremental decoder that splits a stream of bytes into messages. */
export type FrameReader = {
	/** Adds bytes and returns the messages that are now complete; throws FrameError for a malformed frame. */
	push(chunk: Buffer): readonly unknown[];
	/** Adds bytes and passes on the messages that are now complete, each before the next one is decoded; throws FrameError for a malformed frame. */
	pushEach(chunk: Buffer, receive: FrameReceiver): void;
	/** Sets the coding of the messages that are decoded from now on. */
	setCoding(coding: Pick<PayloadCoding, 'decode'>): void;
	/** Sets the maximum payload in bytes that is accepted from now on, also after decompression. */
	setMaximumPayloadBytes(bytes: number): void;
};

/**
 * Creates a reader of frames.
 * @param initialMaximumPayloadBytes - Maximum accepted payload in bytes, until another one is set.
 */
export function createFrameReader(initialMaximumPayloadBytes = maximumFrameBytes): FrameReader {
	let maximumPayloadBytes = initialMaximumPayloadBytes;
	let coding: Pick<PayloadCoding, 'decode'> = plainCoding;
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

	/** Consumes the next frame. */
	function readPayload(length: number, isCompressed: boolean): unknown {
		const buffered = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
		const end = headerBytes + length;
		const payload = buffered.subarray(headerBytes, end);
		chunks = buffered.length > end ? [buffered.subarray(end)] : [];
		bufferedBytes = buffered.length - end;
		try {
			return coding.decode(isCompressed ? inflateRawSync(payload, {maxOutputLength: maximumPayloadBytes}) : payload);
		} catch (error) {
			if (error instanceof TemplateError) {
				throw new FrameError(`frame payload is malformed: ${error.message}`);
			}

			throw new FrameError(`frame payload is not valid CBOR, cannot be decompressed or exceeds the limit of ${maximumPayloadBytes} bytes after decompression`);
		}
	}

	function pushEach(chunk: Buffer, receive: FrameReceiver): void {
		chunks.push(chunk);
		bufferedBytes += chunk.length;
		for (let header = peekHeader(); header !== undefined && bufferedBytes >= headerBytes + header.length; header = peekHeader()) {
			receive(readPayload(header.length, header.isCompressed), headerBytes + header.length);
		}
	}

	return {
		push(chunk) {
			const messages: unknown[] = [];
			pushEach(chunk, message => {
				messages.push(message);
			});
			return messages;
		},
		pushEach,
		setCoding(nextCoding) {
			coding = nextCoding;
		},
		setMaximumPayloadBytes(bytes) {
			maximumPayloadBytes = bytes;
		},
	};
}
