/** Exchanges with the other entries how many requests each sends to the servers of its fleet, if the settings name an address for it. */
import {createCountsReporter, createPeerCounts} from '../../choice/index.js';
import {type EntrySettings, type Security} from '../../settings/index.js';
import {type Fleet} from '../fleet/index.js';
import {startPeerExchange, type PeerExchange, type PeerExchangeOptions} from './peer-exchange.js';

/** Options of `startCountsExchange`. */
export type CountsExchangeOptions = {
	readonly settings: EntrySettings;
	readonly security: Security;
	readonly fleet: Fleet;
	/** Called after a link was ended because of an error. */
	readonly onFailure: PeerExchangeOptions['onFailure'];
	/** Called with each frame that is sent or received. */
	readonly onTransfer: PeerExchangeOptions['onTransfer'];
};

/**
 * Starts to exchange the counts of a fleet. Returns undefined if the settings have no address for peers.
 * @param options - Address, keys and servers.
 */
export async function startCountsExchange({
	settings, security, fleet, onFailure, onTransfer,
}: CountsExchangeOptions): Promise<PeerExchange | undefined> {
	if (settings.peers === undefined) {
		return undefined;
	}

	const counts = createPeerCounts();
	return startPeerExchange({
		identity: {...security.link, zone: settings.zone},
		address: settings.peers,
		counts,
		onFailure,
		onTransfer,
		reporter: createCountsReporter(settings.name),
		getOwnCounts: () => [...fleet.getServers()].map(({candidate}) => ({server: candidate.id, inFlight: candidate.getInFlight()})),
		onCountsChange(servers) {
			for (const id of servers) {
				fleet.get(id)?.candidate.setPeerInFlight(counts.get(id));
			}
		},
	});
}
