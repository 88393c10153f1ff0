/**
 * Control hosts that a process links to: those listed in its settings, or the seeds and the
 * members of the newest directory that it received. The seeds are kept, since all known
 * members may have been replaced after a long network partition.
 */
import {type Directory} from '../control/message.js';
import {formatHostName, parseHostName, type ControlAddress} from './client.js';

/** Known control hosts of a process. */
export type HostDirectory = {
	getHosts(): readonly ControlAddress[];
	/** Applies a received directory, unless it is empty or older than the known one, and returns the hosts. */
	update(directory: Directory): readonly ControlAddress[];
	/** Replaces the seeds and returns the hosts. */
	setSeeds(seeds: ReadonlyArray<{readonly host: string; readonly port: number}>): readonly ControlAddress[];
};

/** Control hosts known from the settings. */
export type HostDirectoryOptions = {
	readonly control: readonly ControlAddress[];
	readonly seeds: ReadonlyArray<{readonly host: string; readonly port: number}>;
};

/**
 * Creates a directory with the control hosts of the settings.
 * @param options - Control hosts or seeds of the settings.
 */
export function createHostDirectory(options: HostDirectoryOptions): HostDirectory {
	let seeds = options.seeds.map(seed => formatHostName(seed));
	let members: readonly string[] = [];
	let newestIndex = -1;

	function getHosts(): readonly ControlAddress[] {
		return seeds.length === 0 ? options.control : [...new Set([...members, ...seeds])].map(name => parseHostName(name));
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
