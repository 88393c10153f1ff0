/** Snapshot files of a replica: records of the parts of a snapshot, and a trailer that shows that all of them are there. */
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {setImmediate} from 'node:timers/promises';
import {type Snapshot} from '../consensus/index.js';
import {listFileNumbers, writeAll, writeFileAtomically} from './durable-files.js';
import {type Files} from './files.js';
import {CorruptionError, encodeRecord, readRecords} from './record.js';

/** Splits the contents of a snapshot into parts, each of which is encoded in its own turn of the event loop, and joins them again. */
export type SnapshotCodec = {
	split(data: unknown): Iterable<unknown>;
	join(parts: Iterable<unknown>): unknown;
};

/** Keeps a snapshot in one part. */
export const singlePartCodec: SnapshotCodec = {
	split: data => [data],
	join: parts => [...parts][0],
};

type SnapshotTrailer = Omit<Snapshot, 'data'> & {readonly parts: number};

const snapshotPattern = /^snapshot-(?<index>\d{15})\.bin$/v;

/** Snapshot files in one folder. */
export type SnapshotFiles = {
	/** Reads the newest snapshot, if there is one. */
	readNewest(): Snapshot | undefined;
	/** Writes and syncs a snapshot part by part, and gets the size of its parts in bytes. */
	write(snapshot: Snapshot): Promise<number>;
	/** Removes the snapshots before an index. */
	removeOlder(index: number): Promise<void>;
};

/** Options of `createSnapshotFiles`. */
export type SnapshotFilesOptions = {readonly folder: string; readonly codec: SnapshotCodec; readonly files: Files};

/**
 * Creates access to the snapshot files of a folder.
 * @param options - Folder, codec and file operations.
 */
export function createSnapshotFiles(options: SnapshotFilesOptions): SnapshotFiles {
	const {folder, codec, files} = options;

	function getPath(index: number): string {
		return path.join(folder, `snapshot-${String(index).padStart(15, '0')}.bin`);
	}

	return {
		readNewest() {
			const newest = listFileNumbers(folder, snapshotPattern).at(-1);
			if (newest === undefined) {
				return undefined;
			}

			const file = getPath(newest);
			const {values} = readRecords(file, readFileSync(file));
			const trailer = values.at(-1) as SnapshotTrailer | undefined;
			if (trailer?.parts !== values.length - 1) {
				throw new CorruptionError(`${file}: the snapshot is damaged; replace this host's data folder`);
			}

			const {parts: _, ...rest} = trailer;
			return {...rest, data: codec.join(values.slice(0, -1))};
		},
		async write(snapshot) {
			const {data, ...trailer} = snapshot;
			let bytes = 0;
			await writeFileAtomically(files, folder, getPath(snapshot.index), async temporaryFile => {
				let parts = 0;
				for (const part of codec.split(data)) {
					const record = encodeRecord(part);
					await writeAll(temporaryFile, record);
					bytes += record.length;
					parts++;
					await setImmediate();
				}

				// The trailer is written last, so that an incomplete file is recognized by its absence.
				await writeAll(temporaryFile, encodeRecord({...trailer, parts}));
			});
			return bytes;
		},
		async removeOlder(index) {
			for (const older of listFileNumbers(folder, snapshotPattern)) {
				if (older < index) {
					await files.unlink(getPath(older));
				}
			}
		},
	};
}
