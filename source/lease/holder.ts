/**
 * The entry's side of the lease. The term counts from the moment at which the
 * renewal was sent, on the monotonic clock, and is shortened by the allowed drift.
 */
import {type Grant} from './message.js';

/** Share of the term that is given up to clocks that run at different speeds. */
const clockDriftShare = 0.02;

/** Renewals whose time of sending is remembered. */
const maximumTrackedRenewals = 64;

/** An entry's lease. */
export type LeaseHolder = {
	/** Notes that a renewal is sent and returns its sequence. */
	startRenewal(now: number): number;
	/** Checks whether a grant is neither stale nor over. */
	isAcceptable(grant: Grant, now: number): boolean;
	/** Takes a grant; returns false for one that is stale and must be ignored. */
	accept(grant: Grant, now: number): boolean;
	/** Checks whether new work may be dispatched. */
	isValid(now: number): boolean;
	getExpiresAt(): number;
	getAcknowledged(): number;
	getEpoch(): number;
	getRevision(): number;
	getVersion(): number;
	getPeersRevision(): number;
	/** Ends the lease at once. */
	release(): void;
};

/** Creates a lease that is not yet granted. */
export function createLeaseHolder(): LeaseHolder {
	const sentAt = new Map<number, number>();
	let sequence = 0;
	let expiresAt = Number.NEGATIVE_INFINITY;
	let acknowledged = 0;
	let epoch = 0;
	let revision = 0;
	let version = 0;
	let peersRevision = 0;
	let isReleased = false;

	function getGrantExpiry(grant: Grant): number {
		return (sentAt.get(grant.sequence) ?? Number.NEGATIVE_INFINITY) + (grant.termMilliseconds * (1 - clockDriftShare));
	}

	function mayAccept(grant: Grant, now: number): boolean {
		const isStale = grant.sequence <= acknowledged || grant.epoch < epoch || grant.version < version;
		return !isStale && !isReleased && getGrantExpiry(grant) > now;
	}

	return {
		startRenewal(now) {
			sequence++;
			sentAt.set(sequence, now);
			sentAt.delete(sequence - maximumTrackedRenewals);
			return sequence;
		},
		isAcceptable: mayAccept,
		accept(grant, now) {
			if (!mayAccept(grant, now)) {
				return false;
			}

			expiresAt = Math.max(expiresAt, getGrantExpiry(grant));
			acknowledged = grant.sequence;
			epoch = grant.epoch;
			revision = grant.revision;
			version = grant.version;
			peersRevision = grant.peersRevision;
			return true;
		},
		isValid: now => now < expiresAt,
		getExpiresAt: () => expiresAt,
		getAcknowledged: () => acknowledged,
		getEpoch: () => epoch,
		getRevision: () => revision,
		getVersion: () => version,
		getPeersRevision: () => peersRevision,
		release() {
			isReleased = true;
			expiresAt = Number.NEGATIVE_INFINITY;
		},
	};
}
