/**
 * Payloads of frames: CBOR items. On links whose ends both know the table of field names, the names in it are sent as numbers.
 * Such an item depends on nothing that was sent before.
 */
import {type Buffer} from 'node:buffer';
import {Encoder, type Options} from 'cbor-x';
import {fieldNames} from './field-names.js';

/** Maximum payload of one frame in bytes. */
export const maximumFrameBytes = 64 * 1024 * 1024;

/** Thrown for a frame that exceeds the size limit, cannot be decompressed or is malformed. */
export class FrameError extends Error {
	override readonly name = 'FrameError';
}

/**
 * Checks the length of a payload before compression.
 * @param payload - Payload to send.
 * @throws FrameError when the payload exceeds `maximumFrameBytes`.
 */
export function checkLength(payload: Buffer): void {
	if (payload.length > maximumFrameBytes) {
		throw new FrameError(`frame payload of ${payload.length} bytes exceeds the limit of ${maximumFrameBytes} bytes`);
	}
}

/** Converts values to payloads and back. */
export type PayloadCoding = {
	/** Encodes plain data. */
	encode(value: unknown): Buffer;
	/** Decodes one complete item. Throws an error if it is malformed. */
	decode(payload: Uint8Array): unknown;
	/** Minimum length of payloads that are compressed; for shorter ones, the savings are not worth the processor time. */
	readonly compressionThresholdBytes: number;
};

/** Coding with all names as text, which peers of all releases and the files on disk use. */
export const plainCoding: PayloadCoding = createCoding({useRecords: false, mapsAsObjects: true, tagUint8Array: false}, 2048);

/** Threshold without names as text. A list of objects takes a third of its plain length, so as many messages are compressed as in the plain form. */
const numberedThresholdBytes = 680;

function createCoding(options: Options & {readonly keyMap?: Readonly<Record<string, number>>}, compressionThresholdBytes: number): PayloadCoding {
	const encoder = new Encoder(options);
	return {
		encode: value => encoder.encode(value),
		decode: payload => encoder.decode(payload) as unknown,
		compressionThresholdBytes,
	};
}

/** Number of names for whose numbers CBOR has integers of one byte: 0 to 23, and as many negative ones. */
const shortNumbers = 24;

/** Gets the number that is sent for a name: the integers of one byte first, then the positive ones. */
function getNumber(position: number): number {
	const isNegative = position >= shortNumbers && position < 2 * shortNumbers;
	if (isNegative) {
		return shortNumbers - 1 - position;
	}

	return position < shortNumbers ? position : position - shortNumbers;
}

const numberedCodings = new Map<number, PayloadCoding>();

/**
 * Gets the coding for links whose ends both know a number of names.
 * @param nameCount - Number of names that both ends know.
 */
export function getNumberedCoding(nameCount: number): PayloadCoding {
	const count = Math.min(nameCount, fieldNames.length);
	const coding = numberedCodings.get(count) ?? createNumberedCoding(count);
	numberedCodings.set(count, coding);
	return coding;
}

function createNumberedCoding(count: number): PayloadCoding {
	const keyMap = Object.fromEntries(fieldNames.slice(0, count).map((name, position) => [name, getNumber(position)]));
	return createCoding({
		useRecords: false, mapsAsObjects: true, tagUint8Array: false, variableMapSize: true, keyMap,
	}, numberedThresholdBytes);
}
