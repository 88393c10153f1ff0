/** File operations of the storage, which tests replace to simulate a disk that refuses writes. */
import {
	mkdir, open, rename, unlink,
} from 'node:fs/promises';
import {setTimeout as delay} from 'node:timers/promises';

/** File operations that change a data folder. */
export type Files = {
	readonly mkdir: typeof mkdir;
	readonly open: typeof open;
	readonly rename: typeof rename;
	readonly unlink: typeof unlink;
};

/** Operations of the real file system. */
export const realFiles: Files = {
	mkdir, open, rename, unlink,
};

/** Time between two attempts on a full disk. */
const retryIntervalMilliseconds = 200;

const fullDiskCodes: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT']);

/**
 * Checks whether an operation failed because the disk is full. The same operation can succeed later.
 * @param error - Error of a file operation.
 */
export function isDiskFull(error: unknown): boolean {
	return error instanceof Error && 'code' in error && fullDiskCodes.has(String(error.code));
}

/**
 * Repeats an operation until the disk is not full, so that a host that starts on a full disk does not restart over and over.
 * @param operation - Operation that leaves nothing behind when it fails.
 */
export async function retryWhileDiskFull<Value>(operation: () => Promise<Value>): Promise<Value> {
	for (;;) {
		try {
			return await operation();
		} catch (error) {
			if (!isDiskFull(error)) {
				throw error;
			}

			await delay(retryIntervalMilliseconds);
		}
	}
}
