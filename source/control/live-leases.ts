/**
 * Lists that the leader derives from the live leases. They change only when an entry joins, changes or ends, so they are derived
 * once and not for each grant.
 */
import {type LeaseRecord, type PeerAddress} from '../lease/index.js';

/** Entries with a live lease and the addresses of those that have peers. */
export type LiveLeases = {
	/** Names of the entries, sorted, by environment. */
	readonly entriesByEnvironment: ReadonlyMap<string, readonly string[]>;
	readonly peers: readonly PeerAddress[];
	/** Value that changes with the peers. */
	readonly peersKey: string;
};

/**
 * Derives the lists of entries and peers from the live leases.
 * @param live - Leases that have not expired.
 */
export function createLiveLeases(live: readonly LeaseRecord[]): LiveLeases {
	const entriesByEnvironment = new Map<string, string[]>();
	for (const {entry, environment} of live.toSorted((one, other) => one.entry < other.entry ? -1 : 1)) {
		entriesByEnvironment.set(environment, [...entriesByEnvironment.get(environment) ?? [], entry]);
	}

	const peers = live.map(({peer}) => peer).filter(peer => peer !== undefined);
	const peersKey = peers.map(peer => `${peer.name} ${peer.host} ${peer.port}`).toSorted().join(',');
	return {entriesByEnvironment, peers, peersKey};
}

/**
 * Checks whether two peers have the same name and address, or both are missing.
 * @param one - A peer.
 * @param other - Another peer.
 */
export function isSamePeer(one: PeerAddress | undefined, other: PeerAddress | undefined): boolean {
	return one?.name === other?.name && one?.host === other?.host && one?.port === other?.port;
}
