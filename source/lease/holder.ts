/**
 * Entry side of the lease. The term is counted on the monotonic clock from the time at which the renewal was sent, and is
 * shortened by the allowed clock drift, and by the time for which the host was suspended.
 */
import {type Grant} from './message.js';

/** Share by which the term is shortened to allow for clocks that run at different speeds. */
const clockDriftShare = 0.02;

/** Maximum number of renewals whose send time is kept. */
const maximumTrackedRenewals = 64;

/** Lease of an entry. */
export type LeaseHolder = {
	/** Records the send time of a renewal and returns its sequence number. */
	startRenewal(now: number): number;
	/** Checks whether a grant is neither stale nor expired. */
	isAcceptable(grant: Grant, now: number): boolean;
	/** Applies a grant. Returns false if the grant is stale or expired and must be ignored. */
	accept(grant: Grant, now: number): boolean;
	/** Checks whether new requests may be dispatched. */
	isValid(now: number): boolean;
	getExpiresAt(): number;
	/** Gets the time at which the renewal of the last accepted grant was sent, or minus infinity before the first grant. */
	getRenewedAt(): number;
	getAcknowledged(): number;
	getEpoch(): number;
	getRevision(): number;
	/** Gets the index of the replicated log up to which the servers are known, or 0 if the leader did not tell. */
	getLogIndex(): number;
	getVersion(): number;
	getPeersRevision(): number;
	/** Counts a time that the monotonic clock did not, for the lease and for the renewals that are on their way. */
	addSuspension(milliseconds: number): void;
	/** Forgets the revision of the servers, so that the next renewal asks for all of them. */
	forgetServers(): void;
	/** Ends the lease at once; later grants are ignored. */
	release(): void;
};

/** Creates a lease that has not been granted yet. */
export function createLeaseHolder(): LeaseHolder {
	const sentAtBySequence = new Map<number, number>();
	let sequence = 0;
	let expiresAt = Number.NEGATIVE_INFINITY;
	let renewedAt = Number.NEGATIVE_INFINITY;
	let acknowledged = 0;
	let epoch = 0;
	let revision = 0;
	let logIndex = 0;
	let version = 0;
	let peersRevision = 0;
	let isReleased = false;

	function getSentAt(grant: Grant): number {
		return sentAtBySequence.get(grant.sequence) ?? Number.NEGATIVE_INFINITY;
	}

	function getGrantExpiry(grant: Grant): number {
		return getSentAt(grant) + (grant.termMilliseconds * (1 - clockDriftShare));
	}

	function isAcceptable(grant: Grant, now: number): boolean {
		const isStale = grant.sequence <= acknowledged || grant.epoch < epoch || grant.version < version;
		return !isStale && !isReleased && getGrantExpiry(grant) > now;
	}

	return {
		startRenewal(now) {
			sequence++;
			sentAtBySequence.set(sequence, now);
			sentAtBySequence.delete(sequence - maximumTrackedRenewals);
			return sequence;
		},
		isAcceptable,
		accept(grant, now) {
			if (!isAcceptable(grant, now)) {
				return false;
			}

			expiresAt = Math.max(expiresAt, getGrantExpiry(grant));
			renewedAt = getSentAt(grant);
			acknowledged = grant.sequence;
			epoch = grant.epoch;
			revision = grant.revision;
			logIndex = grant.logIndex ?? 0;
			version = grant.version;
			peersRevision = grant.peersRevision;
			return true;
		},
		isValid: now => now < expiresAt,
		getExpiresAt: () => expiresAt,
		getRenewedAt: () => renewedAt,
		getAcknowledged: () => acknowledged,
		getEpoch: () => epoch,
		getRevision: () => revision,
		getLogIndex: () => logIndex,
		getVersion: () => version,
		getPeersRevision: () => peersRevision,
		addSuspension(milliseconds) {
			expiresAt -= milliseconds;
			renewedAt -= milliseconds;
			for (const [number, sentAt] of sentAtBySequence) {
				sentAtBySequence.set(number, sentAt - milliseconds);
			}
		},
		forgetServers() {
			revision = 0;
			logIndex = 0;
		},
		release() {
			isReleased = true;
			expiresAt = Number.NEGATIVE_INFINITY;
		},
	};
}
