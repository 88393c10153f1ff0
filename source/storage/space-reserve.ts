/**
 * Keeps some space of the disk occupied, so that a snapshot can still be written when the disk is full. The snapshot then
 * replaces the log, which frees more space than it takes.
 */
import {Buffer} from 'node:buffer';
import path from 'node:path';
import {isDiskFull, type Files} from './files.js';

const blockBytes = 65_536;

/** Name of the file that occupies the space. */
export const reserveName = 'reserve.bin';

/** Reserved space in a data folder. */
export type SpaceReserve = {
	/** Occupies at least a number of bytes, if the disk has them. */
	fill(bytes: number): Promise<void>;
	/** Frees the reserved bytes; returns false when none are reserved. */
	release(): Promise<boolean>;
};

/**
 * Creates the reserve of a folder, of which nothing is occupied yet.
 * @param folder - Folder of the replica's files.
 * @param files - File operations.
 */
export function createSpaceReserve(folder: string, files: Files): SpaceReserve {
	const file = path.join(folder, reserveName);
	let reservedBytes = 0;

	async function release(): Promise<boolean> {
		if (reservedBytes === 0) {
			return false;
		}

		reservedBytes = 0;
		await files.unlink(file);
		return true;
	}

	async function writeBlocks(bytes: number): Promise<void> {
		const handle = await files.open(file, 'w');
		reservedBytes = 0;
		try {
			// Holes of a file would occupy nothing, so the bytes are written.
			for (let written = 0; written < bytes; written += blockBytes) {
				reservedBytes += blockBytes;
				await handle.write(Buffer.alloc(blockBytes));
			}
		} finally {
			await handle.close();
		}
	}

	return {
		async fill(bytes) {
			if (bytes <= reservedBytes) {
				return;
			}

			try {
				await writeBlocks(bytes);
			} catch (error) {
				if (!isDiskFull(error)) {
					throw error;
				}

				// A partial reserve helps nobody while the disk is full.
				await release();
			}
		},
		release,
	};
}
