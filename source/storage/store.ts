/**
 * Durable storage of one replica: a log file of checksummed records, and snapshot files.
 * A snapshot is written to a temporary file, synced and renamed; then a new log file is started with
 * the hard state and the entries after the snapshot, and the old files are removed. While the replica runs,
 * all disk access is asynchronous, because a slow disk that blocked the event loop would delay heartbeats and leases.
 */
import {readFileSync} from 'node:fs';
import {type FileHandle} from 'node:fs/promises';
import path from 'node:path';
import {
	type Action, type HardState, type LogEntry, type Snapshot,
} from '../consensus/index.js';
import {
	listFileNumbers, removeTemporaryFiles, syncFolder, writeAll, writeFileAtomically,
} from './durable-files.js';
import {isDiskFull, realFiles, type Files} from './files.js';
import {encodeRecord, readRecords} from './record.js';
import {createSnapshotFiles, singlePartCodec, type SnapshotCodec} from './snapshot-files.js';
import {createSpaceReserve} from './space-reserve.js';

/** An action that changes durable state. */
export type PersistAction = Extract<Action, {readonly kind: 'persistState' | 'persistEntries' | 'persistSnapshot'}>;

type Operation
	= | {readonly kind: 'state'; readonly state: HardState}
		| {readonly kind: 'entries'; readonly entries: readonly LogEntry[]; readonly truncateFrom: number};

/** State read from a data folder. */
export type StoredState = {
	readonly state: HardState;
	readonly snapshot: Snapshot | undefined;
	readonly entries: readonly LogEntry[];
};

/** What the storage did to a data folder when it opened it after a crash. */
export type Recovery = {
	/** Bytes of an incomplete record that were removed from the end of the log. */
	readonly truncatedBytes: number;
	/** Entries of a log that ends before the snapshot, or contradicts it. They were replaced by the snapshot, and a new log was started. */
	readonly discardedEntries: number;
};

/** Durable storage of one replica. */
export type Store = {
	readonly storedState: StoredState;
	readonly recovery: Recovery;
	/** Writes and syncs a snapshot part by part while the log accepts further batches; `persist` then makes it the current one. */
	prepareSnapshot(snapshot: Snapshot): Promise<void>;
	/** Writes a batch and resolves when it is durable. */
	persist(batch: readonly PersistAction[]): Promise<void>;
	/** Gets the number of bytes written to the log file after its initial record, which contains the entries after the last snapshot. */
	getLogGrowthBytes(): number;
	close(): Promise<void>;
};

const minimumReserveBytes = 131_072;
const logPattern = /^log-(?<generation>\d{9})\.bin$/v;

/**
 * Opens the storage of a replica, truncates an incomplete record at the end of its log, and starts a new log if the old one does not lead up to the snapshot.
 * @param folder - Folder of the replica's files; created if it is missing.
 * @param codec - Codec that splits snapshots; the default keeps them in one part.
 * @param files - File operations.
 */
export async function openStore(folder: string, codec: SnapshotCodec = singlePartCodec, files: Files = realFiles): Promise<Store> {
	await files.mkdir(folder, {recursive: true});
	await syncFolder(files, path.dirname(folder));
	await removeTemporaryFiles(files, folder);
	const reserve = createSpaceReserve(folder, files);
	const snapshots = createSnapshotFiles({folder, codec, files});
	const snapshot = snapshots.readNewest();
	const generations = listFileNumbers(folder, logPattern);
	let generation = generations.at(-1) ?? 0;
	let state: HardState = {term: 0, votedFor: undefined};
	let entries: LogEntry[] = [];
	let validBytes = 0;
	let initialLogBytes = 0;
	let preparedSnapshotIndex = 0;
	let snapshotBytes = 0;

	function applyOperation(operation: Operation): void {
		if (operation.kind === 'state') {
			state = {term: operation.state.term, votedFor: operation.state.votedFor ?? undefined};
			return;
		}

		if ((entries.at(-1)?.index ?? 0) >= operation.truncateFrom) {
			entries = entries.filter(entry => entry.index < operation.truncateFrom);
		}

		entries.push(...operation.entries);
	}

	if (generation > 0) {
		const file = getLogPath(generation);
		const records = readRecords(file, readFileSync(file));
		validBytes = records.validBytes;
		for (const batch of records.values as ReadonlyArray<readonly Operation[]>) {
			for (const operation of batch) {
				applyOperation(operation);
			}
		}
	}

	function getLogPath(number: number): string {
		return path.join(folder, `log-${String(number).padStart(9, '0')}.bin`);
	}

	const storedState: StoredState = {state, snapshot, entries: getEntriesAfterSnapshot(entries, snapshot)};
	const discardedEntries = isContinuous(entries, snapshot) ? 0 : entries.length;
	entries = [...storedState.entries];
	let logFile: FileHandle = generation === 0 ? await createNextLog() : await files.open(getLogPath(generation), 'r+');
	const truncatedBytes = await truncateLog();
	if (discardedEntries > 0) {
		// Entries appended to the old log would not follow the snapshot either, and the next start would discard them as well.
		await rotateLog();
	}

	await reserve.fill(minimumReserveBytes);

	/** Removes an incomplete record at the end of the log, and gets its size in bytes. */
	async function truncateLog(): Promise<number> {
		const {size} = await logFile.stat();
		if (size > validBytes) {
			await logFile.truncate(validBytes);
		}

		await logFile.sync();
		return Math.max(0, size - validBytes);
	}

	/** Creates the next log file, which starts with the hard state and the entries after the snapshot. */
	async function createNextLog(): Promise<FileHandle> {
		const initialOperations: Operation[] = [{kind: 'state', state}];
		if (entries.length > 0) {
			initialOperations.push({kind: 'entries', entries, truncateFrom: entries[0]!.index});
		}

		const file = getLogPath(generation + 1);
		const record = encodeRecord(initialOperations);
		await writeFileAtomically(files, folder, file, async temporaryFile => {
			await writeAll(temporaryFile, record);
		});
		const nextFile = await files.open(file, 'r+');
		generation++;
		validBytes = record.length;
		initialLogBytes = record.length;
		return nextFile;
	}

	async function rotateLog(): Promise<void> {
		const previousFile = logFile;
		logFile = await createNextLog();
		await previousFile.close();
		for (const number of listFileNumbers(folder, logPattern)) {
			if (number < generation) {
				await files.unlink(getLogPath(number));
			}
		}
	}

	async function writeSnapshot(newSnapshot: Snapshot): Promise<void> {
		snapshotBytes = await snapshots.write(newSnapshot);
		preparedSnapshotIndex = newSnapshot.index;
	}

	/** Writes a snapshot, on a full disk with the reserved space. */
	async function prepareSnapshot(newSnapshot: Snapshot): Promise<void> {
		try {
			await writeSnapshot(newSnapshot);
		} catch (error) {
			if (!isDiskFull(error) || !await reserve.release()) {
				throw error;
			}

			await writeSnapshot(newSnapshot);
		}
	}

	/** Gets the space that the next snapshot and the log after it may need. */
	function getReserveBytes(): number {
		return Math.max(minimumReserveBytes, 2 * (snapshotBytes + initialLogBytes));
	}

	async function persistSnapshot(newSnapshot: Snapshot): Promise<void> {
		if (preparedSnapshotIndex !== newSnapshot.index) {
			await prepareSnapshot(newSnapshot);
		}

		entries = [...getEntriesAfterSnapshot(entries, newSnapshot)];
		await rotateLog();
		await snapshots.removeOlder(newSnapshot.index);
		await reserve.fill(getReserveBytes());
	}

	async function writeOperations(operations: readonly Operation[]): Promise<void> {
		const record = encodeRecord(operations);
		await writeAll(logFile, record, validBytes);
		await logFile.datasync();
		// A record whose sync failed may be lost even if a later sync succeeds, so it is written again at its place.
		validBytes += record.length;
	}

	return {
		storedState,
		recovery: {truncatedBytes, discardedEntries},
		prepareSnapshot,
		async persist(batch) {
			let operations: Operation[] = [];
			for (const action of batch) {
				if (action.kind === 'persistSnapshot') {
					// The new log file already contains the operations that precede the snapshot in this batch.
					await persistSnapshot(action.snapshot);
					operations = [];
					continue;
				}

				const operation: Operation = action.kind === 'persistState'
					? {kind: 'state', state: action.state}
					: {kind: 'entries', entries: action.entries, truncateFrom: action.truncateFrom};
				applyOperation(operation);
				operations.push(operation);
			}

			if (operations.length > 0) {
				await writeOperations(operations);
			}
		},
		getLogGrowthBytes: () => validBytes - initialLogBytes,
		async close() {
			await logFile.close();
			await reserve.release();
		},
	};
}

/** Checks whether entries lead up to a snapshot or follow it without a gap. */
function isContinuous(entries: readonly LogEntry[], snapshot: Snapshot | undefined): boolean {
	if (snapshot === undefined || entries.length === 0 || entries[0]!.index === snapshot.index + 1) {
		return true;
	}

	const entryAtSnapshot = entries.find(entry => entry.index === snapshot.index);
	return entryAtSnapshot?.term === snapshot.term;
}

function getEntriesAfterSnapshot(entries: readonly LogEntry[], snapshot: Snapshot | undefined): readonly LogEntry[] {
	if (snapshot === undefined) {
		return entries;
	}

	return isContinuous(entries, snapshot) ? entries.filter(entry => entry.index > snapshot.index) : [];
}
