/** The leases that a leader has granted, and the lists of entries and of peers that follow from them. */
import {createLeaseTable, type Grant, type Renewal} from '../lease/index.js';
import {createLiveLeases, isSamePeer, type LiveLeases} from './live-leases.js';
import {type EntryStatus} from './message.js';

/** Leases of one leader during one term. */
export type GrantedLeases = {
	/** Checks whether a renewal is the one that its entry's lease was renewed with last. */
	isRepeated(renewal: Renewal): boolean;
	/** Checks whether a later renewal of the same process was recorded. */
	isOvertaken(renewal: Renewal): boolean;
	/** Records a renewal. The leadership must have been confirmed after its receipt. */
	record(renewal: Renewal, receivedAt: number): void;
	/** Expires the leases that have ended. */
	expire(now: number): void;
	/** Forgets the leases that ended before a time. */
	removeExpired(before: number): void;
	/** Gets the entries of an environment with a live lease, sorted. The list is the same until an entry joins, changes or ends. */
	getLiveEntries(environment: string, now: number): readonly string[];
	/** Gets the number of entries of an environment: those with a live lease, or as many as earlier leaders knew while their leases may be valid. */
	getEntryCount(environment: string, now: number): number;
	/**
	 * Gets the addresses of the other entries, or none if the renewal reports their current revision. While leases of earlier leaders
	 * may be valid, an entry that has a list of them keeps it, since others may not have renewed yet.
	 */
	getPeers(renewal: Renewal, now: number): Pick<Grant, 'peers' | 'peersRevision'>;
	/** Checks whether all entries of an environment with a live lease report a version or a newer one. */
	isInForce(environment: string, version: number, now: number): boolean;
	getEntries(now: number): readonly EntryStatus[];
};

/** Options of `createGrantedLeases`. */
export type GrantedLeasesOptions = {
	/** Consensus term of the leader. */
	readonly epoch: number;
	readonly startedAt: number;
	readonly termMilliseconds: number;
	/** Called when the lease of an entry has ended. */
	onExpiry(entry: string, now: number): void;
};

/**
 * Creates the leases of a new leader.
 * @param options - Epoch, start and term.
 */
export function createGrantedLeases(options: GrantedLeasesOptions): GrantedLeases {
	const {epoch, termMilliseconds, onExpiry} = options;
	const earlierLeasesEndAt = options.startedAt + termMilliseconds;
	const earlierEntryCounts = new Map<string, number>();
	const leases = createLeaseTable(options.startedAt, termMilliseconds);
	const expiredEntries = new Set<string>();
	let earliestExpiryAt = Number.NEGATIVE_INFINITY;
	let liveLeases: LiveLeases | undefined;
	let peersKey = '';
	let peersRevision = 0;

	/** Gets the lists that follow from the live leases. */
	function getLiveLeases(now: number): LiveLeases {
		liveLeases ??= createLiveLeases(leases.getLive(now));
		return liveLeases;
	}

	function getLiveEntries(environment: string, now: number): readonly string[] {
		return getLiveLeases(now).entriesByEnvironment.get(environment) ?? [];
	}

	/** Checks whether an entry has a list of peers of an earlier leader. */
	function hasEarlierPeers(renewal: Renewal): boolean {
		return renewal.epoch === epoch ? renewal.peersRevision === 0 : renewal.epoch > 0;
	}

	return {
		isRepeated({entry, process, sequence}) {
			const last = leases.get(entry);
			return last?.sequence === sequence && last.process === process;
		},
		isOvertaken: leases.isOvertaken,
		record(renewal, receivedAt) {
			const previous = leases.get(renewal.entry);
			leases.record(renewal, receivedAt);
			const isKnown = previous !== undefined
				&& previous.expiresAt > receivedAt
				&& previous.environment === renewal.environment
				&& isSamePeer(previous.peer, renewal.peer);
			// A lease that expired before a late decision on its renewal may be live again, or expires again.
			if (!isKnown || renewal.isFinal || expiredEntries.has(renewal.entry)) {
				liveLeases = undefined;
				expiredEntries.delete(renewal.entry);
			}

			earliestExpiryAt = Math.min(earliestExpiryAt, renewal.isFinal ? receivedAt : receivedAt + termMilliseconds);
			earlierEntryCounts.set(renewal.environment, Math.max(earlierEntryCounts.get(renewal.environment) ?? 0, renewal.earlier?.entries ?? 0));
		},
		expire(now) {
			// Every grant calls this, so it does nothing before the first lease can have ended.
			if (now < earliestExpiryAt) {
				return;
			}

			earliestExpiryAt = Number.POSITIVE_INFINITY;
			for (const holder of leases.getAll()) {
				if (holder.expiresAt > now) {
					expiredEntries.delete(holder.entry);
					earliestExpiryAt = Math.min(earliestExpiryAt, holder.expiresAt);
				} else if (!expiredEntries.has(holder.entry)) {
					expiredEntries.add(holder.entry);
					liveLeases = undefined;
					onExpiry(holder.entry, now);
				}
			}
		},
		removeExpired(before) {
			for (const entry of leases.removeExpired(before)) {
				expiredEntries.delete(entry);
			}
		},
		getLiveEntries,
		getEntryCount(environment, now) {
			const earlier = now < earlierLeasesEndAt ? earlierEntryCounts.get(environment) ?? 0 : 0;
			return Math.max(earlier, getLiveEntries(environment, now).length);
		},
		getPeers(renewal, now) {
			if (now < earlierLeasesEndAt && hasEarlierPeers(renewal)) {
				return {peersRevision: 0, peers: undefined};
			}

			const {peers: addresses, peersKey: key} = getLiveLeases(now);
			if (key !== peersKey || peersRevision === 0) {
				peersKey = key;
				peersRevision++;
			}

			const isKnown = renewal.epoch === epoch && renewal.peersRevision === peersRevision;
			return {peersRevision, peers: isKnown ? undefined : addresses.filter(peer => peer.name !== renewal.entry)};
		},
		isInForce: leases.isInForce,
		getEntries: now => leases.getAll().map(holder => ({
			entry: holder.entry, environment: holder.environment, version: holder.version, leaseMilliseconds: Math.round(holder.expiresAt - now),
		})),
	};
}
