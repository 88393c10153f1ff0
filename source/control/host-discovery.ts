/**
 * Discovery of the control hosts: those listed in the settings or, if the settings name
 * seeds, the seeds, the members of the replicated log and the replicas that request to
 * join. With seeds, each host is named after its address for links.
 */
import {Result} from 'true-myth';
import {type Membership} from '../consensus/index.js';
import {formatHostName, parseHostName, type ControlAddress} from '../control-client/index.js';
import {getSeeds, type ControlSettings} from '../settings/index.js';
import {
	getFounderId, getHostName, openDataFolder, openSeededFolder, type DataFolder,
} from '../storage/index.js';

/** Identity of a control host and discovery of the others. */
export type HostDiscovery = {
	/** Name by which the others address this control host. */
	readonly name: string;
	/** Maximum number of voters, or undefined if the settings list all hosts. */
	readonly maximumVoters: number | undefined;
	/** Opens the data folder with the identity of this host. */
	openFolder(): Promise<Result<DataFolder, string>>;
	/** Gets the founding members, as stored in the data folder of a founder or listed in the settings. */
	getFounders(folder: DataFolder): Membership;
	/** Checks whether a host may join the replicated log. */
	isAllowedMember(host: string): boolean;
	/** Replaces the seeds. */
	setSeeds(seeds: ReadonlyArray<{readonly host: string; readonly port: number}>): void;
	/** Gets the addresses of the other hosts to link to. */
	getOtherHosts(membership: Membership, joining: readonly string[]): readonly ControlAddress[];
};

/**
 * Creates the discovery of a control host.
 * @param settings - Settings with the list of hosts or with seeds.
 * @param isFounding - Whether an empty data folder belongs to a founding member, as set on the command line.
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
			// The settings list all hosts.
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
