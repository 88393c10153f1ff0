/** File operations of the storage, which tests replace to simulate a disk that refuses writes. */
import {
	mkdir, open, rename, unlink,
} from 'node:fs/promises';

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

const fullDiskCodes: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT']);

/**
 * Checks whether an operation failed because the disk is full. The same operation can succeed later.
 * @param error - Error of a file operation.
 */
export function isDiskFull(error: unknown): boolean {
	return error instanceof Error && 'code' in error && fullDiskCodes.has(String(error.code));
}
