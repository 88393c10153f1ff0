/**
 * The control hosts that a process links to: those that its settings list, or the seeds
 * and the members of the newest directory that it was given. Seeds stay in it, since the
 * members that it knows may all be gone when it returns from a long cut.
 */
import {type Directory} from '../control/message.js';
import {formatHostName, parseHostName, type ControlAddress} from './client.js';

/** The control hosts that a process knows. */
export type HostDirectory = {
	getHosts(): readonly ControlAddress[];
	/** Takes a directory, unless it is older than what is known, and returns the hosts. */
	update(directory: Directory): readonly ControlAddress[];
	/** Takes other seeds. */
	setSeeds(seeds: ReadonlyArray<{readonly host: string; readonly port: number}>): readonly ControlAddress[];
};

/** Where a process finds control hosts at its start. */
export type HostDirectoryOptions = {
	readonly control: readonly ControlAddress[];
	readonly seeds: ReadonlyArray<{readonly host: string; readonly port: number}>;
};

/**
 * Creates the directory of a process that has met no control host yet.
 * @param sources - Listed hosts, or seeds.
 */
export function createHostDirectory(sources: HostDirectoryOptions): HostDirectory {
	let seeds = sources.seeds.map(seed => formatHostName(seed));
	let members: readonly string[] = [];
	let newestIndex = -1;

	function getHosts(): readonly ControlAddress[] {
		return seeds.length === 0 ? sources.control : [...new Set([...members, ...seeds])].map(name => parseHostName(name));
	}

	return {
		getHosts,
		update(directory) {
			if (directory.index >= newestIndex && directory.hosts.length > 0) {
				newestIndex = directory.index;
				members = directory.hosts;
			}

			return getHosts();
		},
		setSeeds(next) {
			seeds = next.map(seed => formatHostName(seed));
			return getHosts();
		},
	};
}
