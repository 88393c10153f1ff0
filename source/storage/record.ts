/**
 * Records of log and snapshot files: length, CRC-32 and a CBOR payload. Each write batch of the log is
 * one record, so that a crash can only damage the last record of a file.
 */
import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import {decode, encode} from '../wire/index.js';

const headerBytes = 8;

/** Thrown for a damaged file that cannot be repaired by truncating its last record. */
export class CorruptionError extends Error {
	override readonly name = 'CorruptionError';
}

/** Decoded records of a file, and the length in bytes of its undamaged part. */
export type Records = {readonly values: readonly unknown[]; readonly validBytes: number};

/**
 * Encodes a value as one record.
 * @param value - Plain data.
 */
export function encodeRecord(value: unknown): Buffer {
	const payload = encode(value);
	const record = Buffer.allocUnsafe(headerBytes + payload.length);
	record.writeUInt32BE(payload.length, 0);
	record.writeUInt32BE(crc32(payload), 4);
	payload.copy(record, headerBytes);
	return record;
}

/**
 * Decodes the records of a file, without an incomplete or damaged last record.
 * @param file - Path of the file, for error messages.
 * @param bytes - Contents of the file.
 * @throws CorruptionError when a damaged record is followed by non-zero bytes.
 */
export function readRecords(file: string, bytes: Buffer): Records {
	const values: unknown[] = [];
	let offset = 0;
	while (offset + headerBytes <= bytes.length) {
		const length = bytes.readUInt32BE(offset);
		const end = offset + headerBytes + length;
		if (length === 0 || end > bytes.length) {
			break;
		}

		const payload = bytes.subarray(offset + headerBytes, end);
		if (crc32(payload) !== bytes.readUInt32BE(offset + 4)) {
			assertLastRecord(file, bytes, offset, end);
			break;
		}

		values.push(decode(payload));
		offset = end;
	}

	return {values, validBytes: offset};
}

/** Throws when a damaged record is followed by data. Zeros may follow, since a file system can leave them after a crash. */
function assertLastRecord(file: string, bytes: Buffer, offset: number, end: number): void {
	const trailingBytes = bytes.subarray(end);
	if (trailingBytes.some(byte => byte !== 0)) {
		throw new CorruptionError(`${file}: the record at byte ${offset} is damaged and is not the last one; replace this host's data folder`);
	}
}
