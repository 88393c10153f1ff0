/**
 * Identity and lock of a control host's data folder. On the first start of the system, the folder of a founding
 * member gets the replica id of that member; any other empty folder gets a random one, so that a host that lost
 * its disk cannot vote again under its old replica id.
 */
import {randomBytes} from 'node:crypto';
import {
	existsSync, mkdirSync, readFileSync, statSync, writeFileSync, openSync, fsyncSync, closeSync, renameSync,
} from 'node:fs';
import {createServer, type Server} from 'node:net';
import path from 'node:path';
import {Result} from 'true-myth';

/** Name of the file with the id of the replica whose state a folder holds. */
export const identityFile = 'identity';

/** A locked data folder. */
export type DataFolder = {
	/** Id of the replica whose state the folder holds. */
	readonly replica: string;
	/** Replica ids of the founding members; empty if the host is not one of them, undefined if the folder does not store them. */
	readonly founders: readonly string[] | undefined;
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
	return replica.slice(0, replica.lastIndexOf(':'));
}

/**
 * Opens a data folder, creates its identity if it has none, and locks it against other processes.
 * @param folder - Path of the folder.
 * @param name - Name of the control host.
 * @param isFounding - Whether a folder without an identity gets that of a founding member.
 */
export async function openDataFolder(folder: string, name: string, isFounding: boolean): Promise<Result<DataFolder, string>> {
	mkdirSync(folder, {recursive: true});
	const lock = await lockFolder(folder);
	if (lock === undefined) {
		return Result.err(`${folder}: another control process uses this data folder; stop it or set another dataFolder`);
	}

	if (isFounding && existsSync(path.join(folder, identityFile))) {
		lock.close();
		return Result.err(`${folder}: the data folder already has an identity; start without --found`);
	}

	return Result.ok({
		replica: readIdentity(folder, name, isFounding),
		founders: undefined,
		unlock() {
			lock.close();
		},
	});
}

/** Options of `openSeededFolder`. */
export type SeededFolderOptions = {
	/** Name of the control host. */
	readonly name: string;
	/** Names of the founding members, which must be the same on each of them. Used only on the first start. */
	readonly founders: readonly string[];
};

/**
 * Opens the data folder of a host that finds the others through seeds. On the first start of the system
 * its seeds are the founding members, and the founding membership is stored before anything else, so that
 * a later start with other seeds or with an empty folder cannot create a second system.
 * @param folder - Path of the folder.
 * @param options - Name of the host, and the founding members.
 */
export function openSeededFolder(folder: string, options: SeededFolderOptions): DataFolder {
	mkdirSync(folder, {recursive: true});
	const file = path.join(folder, identityFile);
	if (!existsSync(file)) {
		const isFounder = options.founders.includes(options.name);
		const replica = isFounder ? getFounderId(options.name) : getRandomId(options.name);
		const founders = isFounder ? options.founders.map(founder => getFounderId(founder)) : [];
		writeIdentity(folder, [replica, ...founders].join('\n'));
	}

	const [replica, ...founders] = readFileSync(file, 'utf8').trim().split('\n');
	return {
		replica: replica!,
		founders,
		unlock() {
			// The folder is not locked: the platform that starts these processes runs only one per folder.
		},
	};
}

function readIdentity(folder: string, name: string, isFounding: boolean): string {
	const file = path.join(folder, identityFile);
	if (existsSync(file)) {
		return readFileSync(file, 'utf8').trim();
	}

	const identity = isFounding ? getFounderId(name) : getRandomId(name);
	writeIdentity(folder, identity);
	return identity;
}

function getRandomId(name: string): string {
	return `${name}:${randomBytes(8).toString('hex')}`;
}

function writeIdentity(folder: string, identity: string): void {
	const file = path.join(folder, identityFile);
	writeFileSync(`${file}.new`, `${identity}\n`);
	syncFile(`${file}.new`);
	renameSync(`${file}.new`, file);
	syncFile(folder);
}

/**
 * Gives a folder the identity of a new replica, which is not a founding member, and gets its id.
 * @param folder - Path of the folder.
 * @param name - Name of the control host.
 */
export function renewIdentity(folder: string, name: string): string {
	const replica = getRandomId(name);
	writeIdentity(folder, replica);
	return replica;
}

/**
 * Makes a file durable, or the names in a folder.
 * @param file - Path of the file or folder.
 */
export function syncFile(file: string): void {
	const descriptor = openSync(file, 'r');
	fsyncSync(descriptor);
	closeSync(descriptor);
}

/** Locks a folder with an abstract socket named after its device and inode; the kernel releases the socket when the process ends. */
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
