/** Files that are complete or missing after a crash: written under a temporary name, synced and renamed. */
import {readdirSync} from 'node:fs';
import {type FileHandle} from 'node:fs/promises';
import path from 'node:path';
import {type Files} from './files.js';
import {reserveName} from './space-reserve.js';

const temporarySuffix = '.new';

/**
 * Gets the numbers in the names of the files of a folder, in ascending order.
 * @param folder - Folder of the files.
 * @param pattern - Pattern of the names, whose group is the number.
 */
export function listFileNumbers(folder: string, pattern: RegExp): readonly number[] {
	return readdirSync(folder)
		.map(name => pattern.exec(name)?.slice(1)[0])
		.filter(match => match !== undefined)
		.map(Number)
		.toSorted((left, right) => left - right);
}

/**
 * Writes all bytes of a record.
 * @param file - Open file.
 * @param record - Bytes to write.
 * @param position - Position in the file; by default the current one.
 */
export async function writeAll(file: FileHandle, record: Uint8Array, position?: number): Promise<void> {
	let writtenBytes = 0;
	while (writtenBytes < record.length) {
		const writePosition = position === undefined ? undefined : position + writtenBytes;
		const {bytesWritten} = await file.write(record, writtenBytes, record.length - writtenBytes, writePosition);
		writtenBytes += bytesWritten;
	}
}

/**
 * Writes a file under a temporary name, and gives it its final name when it is synced. Removes the temporary file after an error.
 * @param files - File operations.
 * @param folder - Folder of the file.
 * @param file - Path of the file.
 * @param write - Writes the contents.
 */
export async function writeFileAtomically(files: Files, folder: string, file: string, write: (temporaryFile: FileHandle) => Promise<void>): Promise<void> {
	const temporaryName = `${file}${temporarySuffix}`;
	const temporaryFile = await files.open(temporaryName, 'w');
	try {
		await write(temporaryFile);
		await temporaryFile.sync();
	} catch (error) {
		await temporaryFile.close();
		await files.unlink(temporaryName);
		throw error;
	}

	await temporaryFile.close();
	await files.rename(temporaryName, file);
	await syncFolder(files, folder);
}

/**
 * Removes the files that an earlier process did not complete, and its reserve.
 * @param files - File operations.
 * @param folder - Folder of the files.
 */
export async function removeTemporaryFiles(files: Files, folder: string): Promise<void> {
	for (const name of readdirSync(folder)) {
		if (name.endsWith(temporarySuffix) || name === reserveName) {
			await files.unlink(path.join(folder, name));
		}
	}
}

/**
 * Syncs a folder, which makes created and renamed files in it durable.
 * @param files - File operations.
 * @param folder - Folder to sync.
 */
export async function syncFolder(files: Files, folder: string): Promise<void> {
	const directory = await files.open(folder, 'r');
	await directory.sync();
	await directory.close();
}
