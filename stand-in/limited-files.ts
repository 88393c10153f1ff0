/** File operations of a disk that refuses writes: at given times, or above a number of bytes. */
import {open, stat, readdir} from 'node:fs/promises';
import path from 'node:path';
import {realFiles, type Files} from '../source/storage/index.js';

/** File operations with their limits. */
export type LimitedFiles = {
	readonly files: Files;
	/** Refuses all writes, or accepts them again. */
	setFull(isFull: boolean): void;
	/** Refuses all writes after the given number of further ones. */
	refuseAfter(writes: number): void;
	/** Gets the number of writes that were requested. */
	getWriteCount(): number;
};

/** Options of `createLimitedFiles`. */
export type LimitedFilesOptions = {
	/** Folder whose files count towards the limit, and their maximum size together. */
	readonly quota?: {readonly folder: string; readonly bytes: number};
};

function createFullDiskError(): Error {
	return Object.assign(new Error('ENOSPC: no space left on device, write'), {code: 'ENOSPC'});
}

/**
 * Creates file operations of a disk that accepts writes.
 * @param options - Limit of the size, if there is one.
 */
export function createLimitedFiles(options: LimitedFilesOptions = {}): LimitedFiles {
	let isFull = false;
	let writesLeft = Number.POSITIVE_INFINITY;
	let writeCount = 0;

	async function getUsedBytes(folder: string): Promise<number> {
		const names = await readdir(folder);
		const stats = await Promise.all(names.map(async name => stat(path.join(folder, name))));
		return stats.reduce((sum, {size}) => sum + size, 0);
	}

	async function checkWrite(bytes: number): Promise<void> {
		writeCount++;
		writesLeft--;
		const {quota} = options;
		if (isFull || writesLeft < 0 || (quota !== undefined && await getUsedBytes(quota.folder) + bytes > quota.bytes)) {
			throw createFullDiskError();
		}
	}

	return {
		files: {
			...realFiles,
			async open(...parameters: Parameters<typeof open>) {
				if (parameters[1] === 'w') {
					await checkWrite(0);
				}

				const handle = await open(...parameters);
				const write = handle.write.bind(handle) as (...values: readonly unknown[]) => Promise<unknown>;
				const datasync = handle.datasync.bind(handle);
				const limited = {
					async write(...values: readonly [Uint8Array, ...unknown[]]) {
						await checkWrite(values[0].length);
						return write(...values);
					},
					async datasync() {
						await checkWrite(0);
						return datasync();
					},
				};
				return Object.assign(handle, limited);
			},
			async rename(from, to) {
				await checkWrite(0);
				await realFiles.rename(from, to);
			},
		},
		setFull(next) {
			isFull = next;
		},
		refuseAfter(writes) {
			writesLeft = writes;
		},
		getWriteCount: () => writeCount,
	};
}
