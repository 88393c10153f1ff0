/**
 * Which control hosts there are, as far as this one knows: the hosts that the settings
 * list, or with seeds, the seeds, the members of the replicated log and those that ask
 * to join. Hosts found through seeds are named after their address for links.
 */
import {Result} from 'true-myth';
import {type Membership} from '../consensus/index.js';
import {formatHostName, parseHostName, type ControlAddress} from '../control-client/index.js';
import {getSeeds, type ControlSettings} from '../settings/index.js';
import {
	getFounderId, getHostName, openDataFolder, openSeededFolder, type DataFolder,
} from '../storage/index.js';

/** How a control host finds itself and the others. */
export type HostDiscovery = {
	/** Name of this control host for the others. */
	readonly name: string;
	/** Largest number of voters, or undefined where the settings list every host. */
	readonly maximumVoters: number | undefined;
	/** Opens the data folder with the identity of this host. */
	openFolder(): Promise<Result<DataFolder, string>>;
	/** Gets the members that found the system, in the folder of one that takes part from the start. */
	getFounders(folder: DataFolder): Membership;
	/** Checks whether a host may take part. */
	isAllowedMember(host: string): boolean;
	/** Takes other seeds. */
	setSeeds(seeds: ReadonlyArray<{readonly host: string; readonly port: number}>): void;
	/** Gets the other hosts to link to. */
	getOtherHosts(membership: Membership, joining: readonly string[]): readonly ControlAddress[];
};

/**
 * Creates the neighbourhood of a control host.
 * @param settings - Settings with the list of hosts or with seeds.
 * @param isFounding - Whether the command line says that a blank folder is a founder's.
 */
export function createHostDiscovery(settings: ControlSettings, isFounding: boolean): HostDiscovery {
	return settings.seeds.length > 0 ? createSeededDiscovery(settings) : createListedDiscovery(settings, isFounding);
}

function createListedDiscovery(settings: ControlSettings, isFounding: boolean): HostDiscovery {
	const others = settings.control.filter(host => host.name !== settings.name);
	return {
		name: settings.name,
		maximumVoters: undefined,
		openFolder: async () => openDataFolder(settings.dataFolder, settings.name, isFounding),
		getFounders: () => ({voters: settings.control.map(host => getFounderId(host.name)), learners: []}),
		isAllowedMember: name => settings.control.some(host => host.name === name),
		setSeeds() {
			// The list holds every host.
		},
		getOtherHosts: () => others,
	};
}

function createSeededDiscovery(settings: ControlSettings): HostDiscovery {
	const name = formatHostName(settings.links);
	let seeds = getSeeds(settings).map(seed => formatHostName(seed));
	return {
		name,
		maximumVoters: (settings.toleratedLosses * 2) + 1,
		openFolder: async () => Result.ok(openSeededFolder(settings.dataFolder, {name, founders: settings.founding ? seeds : []})),
		getFounders: folder => ({voters: folder.founders ?? [], learners: []}),
		isAllowedMember: () => true,
		setSeeds(next) {
			seeds = next.map(seed => formatHostName(seed));
		},
		getOtherHosts(membership, joining) {
			const members = [...membership.voters, ...membership.learners, ...joining].map(replica => getHostName(replica));
			const names = new Set([...seeds, ...members]);
			names.delete(name);
			return [...names].map(other => parseHostName(other));
		},
	};
}
