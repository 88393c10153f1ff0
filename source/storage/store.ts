/**
 * Durable storage of one replica: a log file of checksummed records and snapshot
 * files. A snapshot is written aside, synced and renamed; then a new log file takes
 * over the hard state and the tail, and the old files are removed.
 */
import {
	mkdirSync, openSync, closeSync, readdirSync, readFileSync, renameSync, fsyncSync, writeSync, ftruncateSync, unlinkSync, fdatasync, write,
} from 'node:fs';
import path from 'node:path';
import {setImmediate} from 'node:timers/promises';
import {promisify} from 'node:util';
import {
	type Action, type HardState, type LogEntry, type Snapshot,
} from '../consensus/index.js';
import {CorruptionError, encodeRecord, readRecords} from './record.js';

const writeFile = promisify(write);
const syncData = promisify(fdatasync);

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
	close(): void;
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
export function openStore(folder: string, codec: SnapshotCodec = wholeCodec): Store {
	mkdirSync(folder, {recursive: true});
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
	let descriptor: number;
	if (generation === 0) {
		descriptor = -1;
		rotate();
	} else {
		descriptor = openSync(getLogPath(generation), 'r+');
		ftruncateSync(descriptor, validBytes);
		fsyncSync(descriptor);
	}

	function rotate(): void {
		const tail: Operation[] = [{kind: 'state', state}];
		if (entries.length > 0) {
			tail.push({kind: 'entries', entries, truncateFrom: entries[0]!.index});
		}

		generation++;
		const file = getLogPath(generation);
		const record = encodeRecord(tail);
		writeAside(folder, file, record);
		const previous = descriptor;
		descriptor = openSync(file, 'r+');
		validBytes = record.length;
		rotatedBytes = record.length;
		if (previous !== -1) {
			closeSync(previous);
		}

		for (const number of listMatches(folder, logPattern)) {
			if (number < generation) {
				unlinkSync(getLogPath(number));
			}
		}
	}

	function getSnapshotPath(index: number): string {
		return path.join(folder, `snapshot-${String(index).padStart(15, '0')}.bin`);
	}

	async function prepareSnapshot(taken: Snapshot): Promise<void> {
		const file = getSnapshotPath(taken.index);
		const aside = openSync(`${file}.new`, 'w');
		const {data, ...head} = taken;
		let parts = 0;
		for (const part of codec.split(data)) {
			const record = encodeRecord(part);
			await writeFile(aside, record, 0, record.length);
			parts++;
			await setImmediate();
		}

		// The head comes last, so that a file without it is known to be incomplete.
		const record = encodeRecord({...head, parts});
		await writeFile(aside, record, 0, record.length);
		await syncData(aside);
		closeSync(aside);
		renameSync(`${file}.new`, file);
		syncFolder(folder);
		preparedIndex = taken.index;
	}

	async function persistSnapshot(taken: Snapshot): Promise<void> {
		if (preparedIndex !== taken.index) {
			await prepareSnapshot(taken);
		}

		entries = [...getTail(entries, taken)];
		rotate();
		for (const index of listMatches(folder, snapshotPattern)) {
			if (index < taken.index) {
				unlinkSync(getSnapshotPath(index));
			}
		}
	}

	async function writeOperations(operations: readonly Operation[]): Promise<void> {
		const record = encodeRecord(operations);
		await writeFile(descriptor, record, 0, record.length, validBytes);
		validBytes += record.length;
		await syncData(descriptor);
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
		close() {
			closeSync(descriptor);
		},
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

function writeAside(folder: string, file: string, bytes: Uint8Array): void {
	const aside = `${file}.new`;
	const descriptor = openSync(aside, 'w');
	writeSync(descriptor, bytes);
	fsyncSync(descriptor);
	closeSync(descriptor);
	renameSync(aside, file);
	syncFolder(folder);
}

function syncFolder(folder: string): void {
	const descriptor = openSync(folder, 'r');
	fsyncSync(descriptor);
	closeSync(descriptor);
}
