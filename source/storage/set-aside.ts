/**
 * Sets the stored state of a replica aside when it cannot be read, so that its host can start without it. The folder gets the identity of a
 * new replica: the old one has voted and acknowledged entries that the host no longer knows, so it must neither vote nor acknowledge again.
 */
import {
	copyFileSync, existsSync, mkdirSync, renameSync, rmSync,
} from 'node:fs';
import path from 'node:path';
import {renewIdentity, identityFile, syncFile} from './data-folder.js';

/** Folder of a replica's files in the data folder of its host. */
const stateFolder = 'log';

/** Folder in the data folder to which unreadable state is moved, with the identity that it had. */
const asideFolder = 'unreadable';

/**
 * Gets the folder of a replica's files.
 * @param dataFolder - Data folder of the host.
 */
export function getStateFolder(dataFolder: string): string {
	return path.join(dataFolder, stateFolder);
}

/** State that was set aside: where it is, and the id of the replica that the host starts as instead. */
export type AsideState = {readonly folder: string; readonly replica: string};

/**
 * Sets the state of a data folder aside, in place of what was set aside before.
 * @param dataFolder - Data folder of the host.
 * @param name - Name of the host.
 */
export function setStateAside(dataFolder: string, name: string): AsideState {
	const folder = path.join(dataFolder, asideFolder);
	rmSync(folder, {recursive: true, force: true});
	mkdirSync(folder);
	copyFileSync(path.join(dataFolder, identityFile), path.join(folder, identityFile));
	// The identity is replaced first: the old replica must not start without its votes if this is interrupted.
	const replica = renewIdentity(dataFolder, name);
	if (existsSync(getStateFolder(dataFolder))) {
		renameSync(getStateFolder(dataFolder), path.join(folder, stateFolder));
	}

	syncFile(folder);
	syncFile(dataFolder);
	return {folder, replica};
}
