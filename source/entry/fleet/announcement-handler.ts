/**
 * Handles the announcements that servers send to an entry. An announcement that changes nothing is
 * recorded and reported with the next lease renewal. One with which a server joins, leaves, returns
 * or moves is forwarded to the leader immediately and is answered when it is committed.
 */
import {getServerKey, isTransition, type Announcement} from '../../announcement/index.js';
import {type ControlClient} from '../../control-client/index.js';
import {type ControlResponse} from '../../control/message.js';
import {type Fleet} from './fleet.js';

const forwardTimeoutMilliseconds = 3000;

/** Handles announcements of servers. */
export type AnnouncementHandler = {
	handle(announcement: Announcement): Promise<ControlResponse>;
	/** Returns the ids of the servers that sent an unchanged announcement since the last call. */
	takeUnchangedServers(): readonly number[];
};

/** Options of `createAnnouncementHandler`. */
export type AnnouncementHandlerOptions = {
	readonly fleet: Fleet;
	getClient(): ControlClient;
	/** Checks whether the lease is valid, so that the leader receives the recorded announcements with the next renewal. */
	isLeaseValid(): boolean;
};

/**
 * Creates a handler of announcements.
 * @param options - Known servers, lease, and links to the control hosts.
 */
export function createAnnouncementHandler(options: AnnouncementHandlerOptions): AnnouncementHandler {
	const unchanged = new Set<number>();

	return {
		async handle(announcement) {
			const known = options.fleet.getByKey(getServerKey(announcement));
			const isKnown = known !== undefined && !known.isAbsent() && !isTransition({announcement: known.getAnnouncement(), state: known.getState()}, announcement);
			if (isKnown && options.isLeaseValid()) {
				unchanged.add(known.id);
				return {kind: 'announced', state: known.getState()};
			}

			return options.getClient().submit({kind: 'announce', announcement}, forwardTimeoutMilliseconds);
		},
		takeUnchangedServers() {
			const taken = [...unchanged];
			unchanged.clear();
			return taken;
		},
	};
}
