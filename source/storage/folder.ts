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
	/** Replicas of the founding members, where the folder belongs to one of them and names them. */
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
	/** Hosts that found the system together, the same on each of them, if this is its first start. */
	readonly founders: readonly string[];
};

/**
 * Opens the data folder of a host that finds the others through seeds. On the very first
 * start the hosts that are seeds themselves found the system; what they founded is
 * written down before anything else, so that a later start with other seeds, or a blank
 * folder, can never found a second one.
 * @param folder - Path of the folder.
 * @param options - Name of the host, and the founders.
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
			// Whoever starts these processes runs one for each folder.
		},
	};
}

function readIdentity(folder: string, name: string, founding: boolean): string {
	const file = path.join(folder, identityFile);
	if (existsSync(file)) {
		return readFileSync(file, 'utf8').trim();
	}

	const identity = founding ? getFounderId(name) : getRandomId(name);
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
