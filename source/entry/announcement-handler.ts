/**
 * Takes the announcements of servers at an entry. One that changes nothing is only
 * noted and travels with the next renewal; one that joins, leaves, returns or moves a
 * server goes to the leader at once and is answered when it is committed.
 */
import {getServerKey, isTransition, type Announcement} from '../announcement/index.js';
import {type ControlClient} from '../control-client/index.js';
import {type ControlResponse} from '../control/message.js';
import {type Fleet} from './fleet.js';

const announceMilliseconds = 3000;

/** Takes announcements. */
export type AnnouncementHandler = {
	handle(announcement: Announcement): Promise<ControlResponse>;
	/** Takes the servers that announced themselves unchanged since the last call. */
	takeUnchangedServers(): readonly number[];
};

/** Options of `createAnnouncements`. */
export type AnnouncementHandlerOptions = {
	readonly fleet: Fleet;
	getClient(): ControlClient;
	/** Checks whether the leader will hear of what is noted now. */
	isLeaseValid(): boolean;
};

/**
 * Creates the taking part of an entry.
 * @param options - Servers that the entry knows, lease, and links to the control hosts.
 */
export function createAnnouncementHandler(options: AnnouncementHandlerOptions): AnnouncementHandler {
	const heard = new Set<number>();

	return {
		async handle(announcement) {
			const known = options.fleet.getByKey(getServerKey(announcement));
			const isKnown = known !== undefined && !known.isAbsent() && !isTransition({announcement: known.getAnnouncement(), state: known.getState()}, announcement);
			if (isKnown && options.isLeaseValid()) {
				heard.add(known.id);
				return {kind: 'announced', state: known.getState()};
			}

			return options.getClient().submit({kind: 'announce', announcement}, announceMilliseconds);
		},
		takeUnchangedServers() {
			const taken = [...heard];
			heard.clear();
			return taken;
		},
	};
}
