/**
 * The leader's record of the granted leases: the expiry of each, the last acknowledged grant and the document version that its
 * holder reports. Terms are counted on the leader's clock from the receipt of a renewal, so a lease expires here after it has
 * expired at its holder.
 */
import {type PeerAddress, type Renewal} from './message.js';

/** Lease of one entry. */
export type LeaseRecord = {
	readonly entry: string;
	/** Process that renewed last. */
	readonly process: string | undefined;
	readonly expiresAt: number;
	/** Sequence number of the renewal that was recorded last. */
	readonly sequence: number;
	readonly version: number;
	readonly acknowledged: number;
	readonly peer: PeerAddress | undefined;
	readonly environment: string;
	/** Whether the process returned the lease. */
	readonly isReturned: boolean;
};

/** Leases that a leader granted. */
export type LeaseTable = {
	/** Records a renewal. The leadership must have been confirmed after its receipt. One that was overtaken only extends a lease that was not returned. */
	record(renewal: Renewal, receivedAt: number): void;
	/** Checks whether a later renewal of the same process was recorded. Entries of earlier releases do not name their process. */
	isOvertaken(renewal: Renewal): boolean;
	/** Gets the leases that have not expired. */
	getLive(now: number): readonly LeaseRecord[];
	isLive(entry: string, now: number): boolean;
	/** Gets the recorded lease of an entry, which may have expired. */
	get(entry: string): LeaseRecord | undefined;
	/** Gets all recorded leases, including expired ones that are not removed yet. */
	getAll(): readonly LeaseRecord[];
	/**
	 * Checks whether all entries of an environment with a live lease report a version or a newer one. Returns false during the
	 * first term of a leadership, when leases granted by the previous leader may still be valid.
	 */
	isInForce(environment: string, version: number, now: number): boolean;
	/** Removes the leases that expired before a time and returns their entries. */
	removeExpired(before: number): readonly string[];
};

/**
 * Creates an empty lease table.
 * @param startedAt - Start of the leadership in milliseconds.
 * @param termMilliseconds - Term of each lease.
 */
export function createLeaseTable(startedAt: number, termMilliseconds: number): LeaseTable {
	const records = new Map<string, LeaseRecord>();

	function isLive(record: LeaseRecord | undefined, now: number): boolean {
		return record !== undefined && record.expiresAt > now;
	}

	function getLive(now: number): readonly LeaseRecord[] {
		return [...records.values()].filter(record => isLive(record, now));
	}

	function isOvertaken({entry, process, sequence}: Renewal): boolean {
		const last = records.get(entry);
		return process !== undefined && last?.process === process && sequence < last.sequence;
	}

	return {
		isOvertaken,
		record(renewal, receivedAt) {
			const {
				entry, process, sequence, version, acknowledged, peer, environment, isFinal,
			} = renewal;
			const previous = records.get(entry);
			if (previous !== undefined && isOvertaken(renewal)) {
				const expiresAt = previous.isReturned ? previous.expiresAt : Math.max(previous.expiresAt, receivedAt + termMilliseconds);
				records.set(entry, {...previous, expiresAt});
				return;
			}

			const isOfPredecessor = isLive(previous, receivedAt) && previous?.process !== process;
			if (isFinal && isOfPredecessor) {
				// The lease is that of another process by now.
				return;
			}

			const newExpiry = isFinal ? receivedAt : receivedAt + termMilliseconds;
			records.set(entry, {
				entry, process, sequence, version, acknowledged, peer, environment, isReturned: isFinal, expiresAt: isFinal ? newExpiry : Math.max(newExpiry, previous?.expiresAt ?? 0),
			});
		},
		getLive,
		isLive: (entry, now) => isLive(records.get(entry), now),
		get: entry => records.get(entry),
		getAll: () => [...records.values()],
		isInForce(environment, version, now) {
			const hasFullTermElapsed = now - startedAt > termMilliseconds;
			return hasFullTermElapsed && getLive(now).every(record => record.environment !== environment || record.version >= version);
		},
		removeExpired(before) {
			const expiredEntries = [...records.values()].filter(record => record.expiresAt < before).map(record => record.entry);
			for (const entry of expiredEntries) {
				records.delete(entry);
			}

			return expiredEntries;
		},
	};
}
