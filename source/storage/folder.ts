/**
 * The data folder of a control host: its identity and its lock. A folder made by
 * a founding start belongs to a founder; any other blank folder gets a random
 * identity, so that a host that lost its disk never returns with its old vote.
 */
import {randomBytes} from 'node:crypto';
import {
	existsSync, mkdirSync, readFileSync, statSync, writeFileSync, openSync, fsyncSync, closeSync, renameSync,
} from 'node:fs';
import {createServer, type Server} from 'node:net';
import path from 'node:path';
import {Result} from 'true-myth';

const identityFile = 'identity';

/** A locked data folder. */
export type DataFolder = {
	/** Id of the replica whose state the folder holds. */
	readonly replica: string;
	unlock(): void;
};

/**
 * Gets the replica id of a founding member.
 * @param name - Name of the control host.
 */
export function getFounderId(name: string): string {
	return `${name}:founder`;
}

/**
 * Gets the control host's name from a replica id.
 * @param replica - Id of a replica.
 */
export function getHostName(replica: string): string {
	return replica.slice(0, replica.indexOf(':'));
}

/**
 * Opens a data folder, gives it an identity when it is blank, and locks it against a second process.
 * @param folder - Path of the folder.
 * @param name - Name of the control host.
 * @param founding - Whether a blank folder belongs to a founding member.
 */
export async function openDataFolder(folder: string, name: string, founding: boolean): Promise<Result<DataFolder, string>> {
	mkdirSync(folder, {recursive: true});
	const lock = await lockFolder(folder);
	if (lock === undefined) {
		return Result.err(`${folder}: another control process uses this data folder; stop it or name another dataFolder`);
	}

	if (founding && existsSync(path.join(folder, identityFile))) {
		lock.close();
		return Result.err(`${folder}: already founded; start without --found`);
	}

	return Result.ok({
		replica: readIdentity(folder, name, founding),
		unlock() {
			lock.close();
		},
	});
}

function readIdentity(folder: string, name: string, founding: boolean): string {
	const file = path.join(folder, identityFile);
	if (existsSync(file)) {
		return readFileSync(file, 'utf8').trim();
	}

	const identity = founding ? getFounderId(name) : `${name}:${randomBytes(8).toString('hex')}`;
	writeFileSync(`${file}.new`, `${identity}\n`);
	syncFile(`${file}.new`);
	renameSync(`${file}.new`, file);
	syncFile(folder);
	return identity;
}

function syncFile(file: string): void {
	const descriptor = openSync(file, 'r');
	fsyncSync(descriptor);
	closeSync(descriptor);
}

/** Binds an abstract socket named after the folder; the kernel frees it when the process ends. */
async function lockFolder(folder: string): Promise<Server | undefined> {
	const {dev, ino} = statSync(folder);
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(`\0guavadeck-${dev}-${ino}`, () => {
			server.unref();
			resolve(server);
		});
	});
}
