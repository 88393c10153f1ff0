/**
 * The leader's book of leases: who holds one until when, what each holder may still
 * believe that it holds, and which version it reports. Times are the leader's own,
 * counted from the receipt of a renewal, so they end after the holder's.
 */
import {type PeerAddress, type Renewal} from './message.js';

/** One entry in the book. */
export type LeaseRecord = {
	readonly entry: string;
	readonly expiresAt: number;
	readonly version: number;
	readonly acknowledged: number;
	readonly peer: PeerAddress | undefined;
	readonly environment: string;
};

/** The leader's book of leases. */
export type LeaseTable = {
	/** Enters a renewal whose leadership was confirmed after its receipt. */
	record(renewal: Renewal, receivedAt: number): void;
	/** Gets the holders whose leases have not ended. */
	getLive(now: number): readonly LeaseRecord[];
	isLive(entry: string, now: number): boolean;
	/** Gets every entry that was entered and not forgotten, ended leases included. */
	getAll(): readonly LeaseRecord[];
	/** Checks whether every live lease of an environment reports a version, or a newer one. */
	isInForce(environment: string, version: number, now: number): boolean;
	/** Forgets entries whose leases ended long ago. */
	removeExpired(before: number): readonly string[];
};

/**
 * Creates an empty book.
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

	return {
		record(renewal, receivedAt) {
			const {entry, version, acknowledged, peer, environment} = renewal;
			const previous = records.get(entry);
			const end = renewal.isFinal ? receivedAt : receivedAt + termMilliseconds;
			records.set(entry, {
				entry, version, acknowledged, peer, environment, expiresAt: renewal.isFinal ? end : Math.max(end, previous?.expiresAt ?? 0),
			});
		},
		getLive,
		isLive: (entry, now) => isLive(records.get(entry), now),
		getAll: () => [...records.values()],
		isInForce(environment, version, now) {
			const hasFullTermElapsed = now - startedAt > termMilliseconds;
			return hasFullTermElapsed && getLive(now).every(record => record.environment !== environment || record.version >= version);
		},
		removeExpired(before) {
			const ended = [...records.values()].filter(record => record.expiresAt < before).map(record => record.entry);
			for (const entry of ended) {
				records.delete(entry);
			}

			return ended;
		},
	};
}
