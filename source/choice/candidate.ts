/**
 * What an entry knows first-hand of one server: requests in flight, its own and its
 * peers', recent failures and sheds. A failed request counts as load for a while, so
 * that a server that fails fast does not look fast.
 */
import {type Announcement, type ServerState} from '../announcement/index.js';

/** Time in which the load of a failure fades to a third, in milliseconds. */
const failureFadeMilliseconds = 1000;

/** Load that one failure counts for. */
const failureLoad = 2;

/** Requests in flight that a warm server may have from all entries together, per slot. */
const overcommitFactor = 3;

/** Load that answers which never came count for at most. */
const largestMissedLoad = 12;

const largestEjectionExponent = 5;
const millisecondsPerSecond = 1000;

/** How failing servers are ejected. */
export type OutlierLimits = {
	readonly consecutiveFailures: number;
	readonly ejectionMilliseconds: number;
	readonly largestShare: number;
};

/** Result of one attempt, as far as the choice of servers cares. */
export type AttemptResult = 'success' | 'failure' | 'shed' | 'cancelled';

/** One server as an entry sees it. */
export type Candidate = {
	readonly id: number;
	getAnnouncement(): Announcement;
	getState(): ServerState;
	/** Checks whether the server has been silent or fails its probes. */
	isAbsent(): boolean;
	/** Replaces what the control hosts say of the server. */
	update(announcement: Announcement, state: ServerState, isAbsent: boolean): void;
	setPermit(slots: number): void;
	/** Sets the requests a second that the entry may send while the server is cold; undefined where slots bound it. */
	setRate(requestsPerSecond: number | undefined, now: number): void;
	/** Ends the permits for a cold server, because the lease that carried them has. */
	revokePermits(): void;
	setPeerInFlight(count: number): void;
	setConnectionShare(connections: number): void;
	/** Keeps a warm server's requests in flight to its slots, for a single entry that sees them all. */
	setSlotsEnforced(isStrict: boolean): void;
	/** Says whether the server answers for itself before each request, so that its silence towards the control hosts does not count. */
	setQueriedBeforeRequests(isOutspoken: boolean): void;
	setReportedLoad(load: number): void;
	getReportedLoad(): number;
	getInFlight(): number;
	/** Checks whether the server may take one more request. */
	isAvailable(now: number): boolean;
	/** Gets the load per slot that a further request would meet. */
	getLoad(now: number, withPeers: boolean): number;
	start(now?: number): void;
	finish(result: AttemptResult, now: number): void;
	/** Notes that a server that should be warm is cold; until a time, if one is given, it gets nothing from this entry. */
	markCold(until?: number): void;
	/** Notes that the server did not answer a question in time. */
	recordMissedReply(now: number): void;
	isEjected(now: number): boolean;
	/** Ejects the server if it has failed too often; returns whether it did. */
	ejectWhenFailing(limits: OutlierLimits, now: number): boolean;
	/** Takes the counts since the last call. */
	takeCounts(): {readonly successes: number; readonly sheds: number; readonly isCold: boolean};
	isCold(): boolean;
};

/**
 * Creates a candidate.
 * @param id - Number of the server's boot.
 * @param initial - Announcement of the server.
 * @param initialState - State that the control hosts decided.
 */
export function createCandidate(id: number, initial: Announcement, initialState: ServerState): Candidate {
	let announcement = initial;
	let state = initialState;
	let isAbsent = false;
	let permit = 0;
	let rate: {readonly requestsPerSecond: number; nextAt: number} | undefined;
	let peerInFlight = 0;
	let connectionShare = initial.connections;
	let reportedLoad = 0;
	let inFlight = 0;
	let failures = 0;
	let consecutiveFailures = 0;
	let fadedAt = 0;
	let ejectedUntil = 0;
	let ejections = 0;
	let isOnProbation = false;
	let overcommit = overcommitFactor;
	let localLimit = Number.POSITIVE_INFINITY;
	let hasTurnedCold = false;
	let closedUntil = 0;
	let isOutspoken = false;
	let successes = 0;
	let sheds = 0;

	function fade(now: number): void {
		failures = failures < 0.01 ? 0 : failures * Math.exp((fadedAt - now) / failureFadeMilliseconds);
		fadedAt = now;
	}

	/** Gets the requests that a cold server may have in flight from this entry now. */
	function getColdLimit(now: number): number {
		if (rate === undefined) {
			return permit;
		}

		return now >= rate.nextAt ? inFlight + 1 : 0;
	}

	function getLimit(now: number): number {
		const limit = state === 'cold' ? getColdLimit(now) : (announcement.slots * overcommit) - peerInFlight;
		const bounded = Math.min(limit, connectionShare, localLimit);
		return isOnProbation ? Math.min(1, bounded) : bounded;
	}

	function succeed(): void {
		successes++;
		consecutiveFailures = 0;
		ejections = 0;
		isOnProbation = false;
		localLimit = localLimit >= announcement.slots ? Number.POSITIVE_INFINITY : localLimit + 1;
	}

	function fail(now: number): void {
		fade(now);
		failures += failureLoad;
		consecutiveFailures++;
	}

	return {
		id,
		getAnnouncement: () => announcement,
		getState: () => state,
		isAbsent: () => isAbsent,
		update(nextAnnouncement, nextState, nextIsAbsent) {
			if (state === 'cold' && nextState === 'warm') {
				localLimit = Number.POSITIVE_INFINITY;
			}

			announcement = nextAnnouncement;
			state = nextState;
			isAbsent = nextIsAbsent;
		},
		setPermit(slots) {
			permit = slots;
		},
		setRate(requestsPerSecond, now) {
			if (requestsPerSecond !== rate?.requestsPerSecond) {
				rate = requestsPerSecond === undefined ? undefined : {requestsPerSecond, nextAt: now};
			}
		},
		revokePermits() {
			permit = 0;
			rate = undefined;
		},
		setPeerInFlight(count) {
			peerInFlight = count;
		},
		setConnectionShare(connections) {
			connectionShare = connections;
		},
		setSlotsEnforced(isStrict) {
			overcommit = isStrict ? 1 : overcommitFactor;
		},
		setQueriedBeforeRequests(next) {
			isOutspoken = next;
		},
		setReportedLoad(load) {
			reportedLoad = load;
		},
		getReportedLoad: () => reportedLoad,
		getInFlight: () => inFlight,
		isAvailable: now => state !== 'leaving' && (!isAbsent || isOutspoken) && ejectedUntil <= now && closedUntil <= now && inFlight < getLimit(now),
		getLoad(now, withPeers) {
			if (failures > 0) {
				fade(now);
			}

			return (inFlight + (withPeers ? peerInFlight : 0) + failures) / announcement.slots;
		},
		start(now = 0) {
			inFlight++;
			if (rate !== undefined && state === 'cold') {
				rate.nextAt = now + (millisecondsPerSecond / rate.requestsPerSecond);
			}
		},
		finish(result, now) {
			inFlight--;
			switch (result) {
				case 'success': {
					succeed();
					return;
				}

				case 'failure': {
					fail(now);
					return;
				}

				case 'shed': {
					sheds++;
					fade(now);
					failures += failureLoad;
					return;
				}

				case 'cancelled': {
					isOnProbation &&= inFlight > 0;
				}
			}
		},
		markCold(until) {
			if (state === 'warm') {
				hasTurnedCold = true;
				localLimit = 1;
				closedUntil = until ?? 0;
			}
		},
		recordMissedReply(now) {
			fade(now);
			failures = Math.min(failures + 1, largestMissedLoad);
		},
		isEjected: now => ejectedUntil > now,
		ejectWhenFailing(limits, now) {
			const hasFailedProbation = isOnProbation && consecutiveFailures > 0;
			if (ejectedUntil > now || (consecutiveFailures < limits.consecutiveFailures && !hasFailedProbation)) {
				return false;
			}

			ejectedUntil = now + (limits.ejectionMilliseconds * (2 ** Math.min(ejections, largestEjectionExponent)));
			ejections++;
			isOnProbation = true;
			return true;
		},
		takeCounts() {
			const counts = {successes, sheds, isCold: hasTurnedCold};
			successes = 0;
			sheds = 0;
			hasTurnedCold = false;
			return counts;
		},
		isCold: () => state === 'cold',
	};
}
