/**
 * A disk that records each change of a folder, and can rebuild what a crash after any of them may leave: changes that were not synced
 * are lost, kept, or kept in part. The folder itself is a real one, so that the code under test reads it as usual.
 */
import {Buffer} from 'node:buffer';
import {open} from 'node:fs/promises';
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {realFiles, type Files} from '../source/storage/index.js';

/** What a crash leaves of the changes that were not synced. */
export type CrashVariant = 'none' | 'all' | 'torn' | 'names' | 'data';

/** All variants of a crash. */
export const crashVariants: readonly CrashVariant[] = ['none', 'all', 'torn', 'names', 'data'];

/** Contents of a folder by file name. */
export type FolderContents = ReadonlyMap<string, Buffer>;

/** A recorded disk. */
export type RecordedDisk = {
	readonly files: Files;
	/** Gets the number of changes so far. */
	getChangeCount(): number;
	/** Gets the contents of the folder after a crash that follows the given number of changes. */
	getContentsAfterCrash(changes: number, variant: CrashVariant): FolderContents;
};

type Change
	= | {readonly kind: 'create'; readonly name: string; readonly file: number}
		| {readonly kind: 'write'; readonly file: number; readonly position: number; readonly bytes: Buffer}
		| {readonly kind: 'truncate'; readonly file: number; readonly size: number}
		| {readonly kind: 'sync'; readonly file: number}
		| {readonly kind: 'rename'; readonly from: string; readonly to: string}
		| {readonly kind: 'unlink'; readonly name: string}
		| {readonly kind: 'syncNames'};

type FileState = {synced: Buffer; current: Buffer; beforeLastWrite: Buffer};

/** State of the disk after some changes: contents of files, and names as they are and as they are synced. */
type DiskState = {readonly files: Map<number, FileState>; names: Map<string, number>; syncedNames: Map<string, number>};

function writeAt(content: Buffer, position: number, bytes: Buffer): Buffer {
	const next = Buffer.alloc(Math.max(content.length, position + bytes.length));
	content.copy(next);
	bytes.copy(next, position);
	return next;
}

function applyChange(state: DiskState, change: Change): void {
	switch (change.kind) {
		case 'create': {
			const empty = Buffer.alloc(0);
			state.files.set(change.file, {synced: empty, current: empty, beforeLastWrite: empty});
			state.names.set(change.name, change.file);
			return;
		}

		case 'write': {
			const file = state.files.get(change.file)!;
			file.beforeLastWrite = file.current;
			file.current = writeAt(file.current, change.position, change.bytes);
			return;
		}

		case 'truncate': {
			const file = state.files.get(change.file)!;
			file.current = file.current.subarray(0, change.size);
			return;
		}

		case 'sync': {
			const file = state.files.get(change.file)!;
			file.synced = file.current;
			file.beforeLastWrite = file.current;
			return;
		}

		case 'rename': {
			state.names.set(change.to, state.names.get(change.from)!);
			state.names.delete(change.from);
			return;
		}

		case 'unlink': {
			state.names.delete(change.name);
			return;
		}

		case 'syncNames': {
			state.syncedNames = new Map(state.names);
		}
	}
}

/** Gets what a crash leaves of a file. A torn write leaves its first half. */
function getContentAfterCrash(file: FileState, variant: CrashVariant): Buffer {
	switch (variant) {
		case 'none':
		case 'names': {
			return file.synced;
		}

		case 'all':
		case 'data': {
			return file.current;
		}

		case 'torn': {
			const tornBytes = Math.floor((file.beforeLastWrite.length + file.current.length) / 2);
			return file.current.subarray(0, Math.max(file.synced.length, tornBytes));
		}
	}
}

/**
 * Creates a recorded disk, and writes its initial contents to a folder.
 * @param folder - Existing folder that is recorded; other folders are not.
 * @param initial - Contents that are synced before the first change.
 * @param ignoredName - Name of a file whose contents do not matter.
 */
export function createRecordedDisk(folder: string, initial: FolderContents, ignoredName: string): RecordedDisk {
	const changes: Change[] = [];
	const fileNumbers = new Map<string, number>();
	let nextFile = 1;
	for (const [name, content] of initial) {
		writeFileSync(path.join(folder, name), content);
		fileNumbers.set(name, nextFile++);
	}

	const initialNumbers = new Map(fileNumbers);

	function isRecorded(file: string): boolean {
		return path.dirname(file) === folder && path.basename(file) !== ignoredName;
	}

	async function openRecorded(file: string, flags: string): Promise<Awaited<ReturnType<typeof open>>> {
		const handle = await open(file, flags);
		const name = path.basename(file);
		if (flags === 'w') {
			const number = nextFile++;
			fileNumbers.set(name, number);
			changes.push({kind: 'create', name, file: number});
		}

		const number = fileNumbers.get(name)!;
		const write = handle.write.bind(handle) as (bytes: Uint8Array, offset?: number, length?: number, position?: number) => Promise<{readonly bytesWritten: number}>;
		const sync = handle.sync.bind(handle);
		const truncate = handle.truncate.bind(handle);
		let writtenBytes = 0;

		async function syncRecorded(): Promise<void> {
			await sync();
			changes.push({kind: 'sync', file: number});
		}

		return Object.assign(handle, {
			async write(bytes: Uint8Array, offset = 0, length = bytes.length, position?: number) {
				const result = await write(bytes, offset, length, position);
				changes.push({
					kind: 'write', file: number, position: position ?? writtenBytes, bytes: Buffer.from(bytes.subarray(offset, offset + result.bytesWritten)),
				});
				writtenBytes = (position ?? writtenBytes) + result.bytesWritten;
				return result;
			},
			async truncate(size: number) {
				await truncate(size);
				changes.push({kind: 'truncate', file: number, size});
			},
			sync: syncRecorded,
			datasync: syncRecorded,
		});
	}

	async function openFolder(): Promise<Awaited<ReturnType<typeof open>>> {
		const handle = await open(folder, 'r');
		const sync = handle.sync.bind(handle);
		return Object.assign(handle, {
			async sync() {
				await sync();
				changes.push({kind: 'syncNames'});
			},
		});
	}

	return {
		files: {
			...realFiles,
			async open(...parameters: Parameters<typeof open>) {
				const [file, flags] = parameters;
				if (file === folder) {
					return openFolder();
				}

				return isRecorded(String(file)) ? openRecorded(String(file), String(flags)) : open(...parameters);
			},
			async rename(from, to) {
				await realFiles.rename(from, to);
				const [oldName, newName] = [path.basename(String(from)), path.basename(String(to))];
				fileNumbers.set(newName, fileNumbers.get(oldName)!);
				changes.push({kind: 'rename', from: oldName, to: newName});
			},
			async unlink(file) {
				await realFiles.unlink(file);
				if (isRecorded(String(file))) {
					changes.push({kind: 'unlink', name: path.basename(String(file))});
				}
			},
		},
		getChangeCount: () => changes.length,
		getContentsAfterCrash(count, variant) {
			const state: DiskState = {files: new Map(), names: new Map(initialNumbers), syncedNames: new Map(initialNumbers)};
			for (const [name, number] of initialNumbers) {
				const content = initial.get(name)!;
				state.files.set(number, {synced: content, current: content, beforeLastWrite: content});
			}

			for (const change of changes.slice(0, count)) {
				applyChange(state, change);
			}

			const names = variant === 'none' || variant === 'data' ? state.syncedNames : state.names;
			return new Map([...names].map(([name, number]) => [name, getContentAfterCrash(state.files.get(number)!, variant)]));
		},
	};
}
