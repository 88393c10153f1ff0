/**
 * Durable storage of one replica: a log file of checksummed records and snapshot
 * files. A snapshot is written aside, synced and renamed; then a new log file takes
 * over the hard state and the tail, and the old files are removed. While the replica
 * runs nothing here waits for the disk in the loop's own turn: a slow disk must not
 * keep heartbeats and leases waiting.
 */
import {readdirSync, readFileSync} from 'node:fs';
import {
	mkdir, open, rename, unlink, type FileHandle,
} from 'node:fs/promises';
import path from 'node:path';
import {setImmediate} from 'node:timers/promises';
import {
	type Action, type HardState, type LogEntry, type Snapshot,
} from '../consensus/index.js';
import {CorruptionError, encodeRecord, readRecords} from './record.js';

/** An action that changes durable state. */
export type PersistAction = Extract<Action, {readonly kind: 'persistState' | 'persistEntries' | 'persistSnapshot'}>;

type Operation
	= | {readonly kind: 'state'; readonly state: HardState}
		| {readonly kind: 'entries'; readonly entries: readonly LogEntry[]; readonly truncateFrom: number};

/** What a data folder holds. */
export type StoredState = {
	readonly state: HardState;
	readonly snapshot: Snapshot | undefined;
	readonly entries: readonly LogEntry[];
};

/** Splits snapshot contents into parts that are each encoded in one turn. */
export type SnapshotCodec = {
	split(data: unknown): Iterable<unknown>;
	join(parts: Iterable<unknown>): unknown;
};

/** Durable storage of one replica. */
export type Store = {
	readonly initial: StoredState;
	/** Writes and syncs a snapshot part by part beside the log, which goes on; `persist` then takes it over. */
	prepareSnapshot(snapshot: Snapshot): Promise<void>;
	/** Writes a batch and syncs it; resolves when it is durable. */
	persist(batch: readonly PersistAction[]): Promise<void>;
	/** Gets the bytes written to the log since the last snapshot replaced its head. */
	getGrownBytes(): number;
	close(): Promise<void>;
};

type SnapshotHead = Omit<Snapshot, 'data'> & {readonly parts: number};

const wholeCodec: SnapshotCodec = {
	split: data => [data],
	join: parts => [...parts][0],
};

const logPattern = /^log-(?<generation>\d{9})\.bin$/v;
const snapshotPattern = /^snapshot-(?<index>\d{15})\.bin$/v;

/**
 * Opens the storage of a replica, and repairs a torn tail.
 * @param folder - Folder of the replica's files; made when it is missing.
 * @param codec - Splits snapshots; the default keeps them in one part.
 */
export async function openStore(folder: string, codec: SnapshotCodec = wholeCodec): Promise<Store> {
	await mkdir(folder, {recursive: true});
	await syncFolder(path.dirname(folder));
	const snapshot = readNewestSnapshot(folder, codec);
	const generations = listMatches(folder, logPattern);
	let generation = generations.at(-1) ?? 0;
	let state: HardState = {term: 0, votedFor: undefined};
	let entries: LogEntry[] = [];
	let validBytes = 0;
	let rotatedBytes = 0;
	let preparedIndex = 0;

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

	const initial: StoredState = {state, snapshot, entries: getTail(entries, snapshot)};
	entries = [...initial.entries];
	let log: FileHandle = generation === 0 ? await startLog() : await open(getLogPath(generation), 'r+');
	await log.truncate(validBytes);
	await log.sync();

	/** Starts the next log file with the hard state and the tail. */
	async function startLog(): Promise<FileHandle> {
		const tail: Operation[] = [{kind: 'state', state}];
		if (entries.length > 0) {
			tail.push({kind: 'entries', entries, truncateFrom: entries[0]!.index});
		}

		generation++;
		const file = getLogPath(generation);
		const record = encodeRecord(tail);
		await writeAside(folder, file, record);
		validBytes = record.length;
		rotatedBytes = record.length;
		return open(file, 'r+');
	}

	async function rotate(): Promise<void> {
		const previous = log;
		log = await startLog();
		await previous.close();
		for (const number of listMatches(folder, logPattern)) {
			if (number < generation) {
				await unlink(getLogPath(number));
			}
		}
	}

	function getSnapshotPath(index: number): string {
		return path.join(folder, `snapshot-${String(index).padStart(15, '0')}.bin`);
	}

	async function prepareSnapshot(taken: Snapshot): Promise<void> {
		const file = getSnapshotPath(taken.index);
		const aside = await open(`${file}.new`, 'w');
		const {data, ...head} = taken;
		let parts = 0;
		for (const part of codec.split(data)) {
			const record = encodeRecord(part);
			await writeAll(aside, record);
			parts++;
			await setImmediate();
		}

		// The head comes last, so that a file without it is known to be incomplete.
		const record = encodeRecord({...head, parts});
		await writeAll(aside, record);
		await putInPlace(folder, file, aside);
		preparedIndex = taken.index;
	}

	async function persistSnapshot(taken: Snapshot): Promise<void> {
		if (preparedIndex !== taken.index) {
			await prepareSnapshot(taken);
		}

		entries = [...getTail(entries, taken)];
		await rotate();
		for (const index of listMatches(folder, snapshotPattern)) {
			if (index < taken.index) {
				await unlink(getSnapshotPath(index));
			}
		}
	}

	async function writeOperations(operations: readonly Operation[]): Promise<void> {
		const record = encodeRecord(operations);
		await writeAll(log, record, validBytes);
		validBytes += record.length;
		await log.datasync();
	}

	return {
		initial,
		prepareSnapshot,
		async persist(batch) {
			let operations: Operation[] = [];
			for (const action of batch) {
				if (action.kind === 'persistSnapshot') {
					// The new log file takes over the tail, with what this batch added to it.
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
		getGrownBytes: () => validBytes - rotatedBytes,
		close: async () => log.close(),
	};
}

function getTail(entries: readonly LogEntry[], snapshot: Snapshot | undefined): readonly LogEntry[] {
	if (snapshot === undefined) {
		return entries;
	}

	const covered = entries.find(entry => entry.index === snapshot.index);
	const isContinuous = entries.length === 0 || entries[0]!.index === snapshot.index + 1 || covered?.term === snapshot.term;
	return isContinuous ? entries.filter(entry => entry.index > snapshot.index) : [];
}

function readNewestSnapshot(folder: string, codec: SnapshotCodec): Snapshot | undefined {
	const newest = listMatches(folder, snapshotPattern).at(-1);
	if (newest === undefined) {
		return undefined;
	}

	const file = path.join(folder, `snapshot-${String(newest).padStart(15, '0')}.bin`);
	const {values} = readRecords(file, readFileSync(file));
	const head = values.at(-1) as SnapshotHead | undefined;
	if (head?.parts !== values.length - 1) {
		throw new CorruptionError(`${file}: the snapshot is damaged; replace this host's data folder`);
	}

	const {parts: _, ...rest} = head;
	return {...rest, data: codec.join(values.slice(0, -1))};
}

function listMatches(folder: string, pattern: RegExp): readonly number[] {
	return readdirSync(folder)
		.map(name => pattern.exec(name)?.slice(1)[0])
		.filter(match => match !== undefined)
		.map(Number)
		.toSorted((left, right) => left - right);
}

/** Writes a whole record, at a position or after what was written before. */
async function writeAll(file: FileHandle, record: Uint8Array, position?: number): Promise<void> {
	let written = 0;
	while (written < record.length) {
		const at = position === undefined ? undefined : position + written;
		const {bytesWritten} = await file.write(record, written, record.length - written, at);
		written += bytesWritten;
	}
}

async function writeAside(folder: string, file: string, record: Uint8Array): Promise<void> {
	const aside = await open(`${file}.new`, 'w');
	await writeAll(aside, record);
	await putInPlace(folder, file, aside);
}

/** Syncs a file that was written aside and gives it its name. */
async function putInPlace(folder: string, file: string, aside: FileHandle): Promise<void> {
	await aside.sync();
	await aside.close();
	await rename(`${file}.new`, file);
	await syncFolder(folder);
}

/** Makes the names in a folder durable. */
async function syncFolder(folder: string): Promise<void> {
	const directory = await open(folder, 'r');
	await directory.sync();
	await directory.close();
}
