/** Tracks the state of one server as an entry sees it: requests in flight from the entry and its peers, recent failures and sheds. */
import {type Announcement, type ServerState} from '../announcement/index.js';
import {createFailureLoad} from './failure-load.js';
import {type LoadReading} from './load-reading.js';
import {createOutlierEjection, type OutlierLimits} from './outlier-ejection.js';

/** Load, in requests in flight, that one failure adds. */
const failureLoad = 2;

/** Maximum requests in flight per slot of a warm server, from all entries together. */
const overcommitFactor = 3;

/** Maximum load that missed replies to load queries add. */
const maximumMissedReplyLoad = 12;

const millisecondsPerSecond = 1000;

/** Result of one attempt, as far as it matters to the choice of servers. */
export type AttemptResult = 'success' | 'failure' | 'shed' | 'cancelled';

/** A server that an entry may choose. */
export type Candidate = {
	readonly id: number;
	getAnnouncement(): Announcement;
	getState(): ServerState;
	/** Checks whether the server has stopped announcing itself or fails its probes. */
	isAbsent(): boolean;
	/** Replaces the state that the control hosts report for the server. */
	update(announcement: Announcement, state: ServerState, isAbsent: boolean): void;
	setPermit(slots: number): void;
	/** Gets the slots and the rate that the entry may use while the server is cold. */
	getPermit(): {readonly slots: number; readonly requestsPerSecond: number | undefined};
	/** Sets the requests a second that the entry may send while the server is cold; undefined if slots limit it instead. */
	setRate(requestsPerSecond: number | undefined): void;
	/** Revokes the permits for a cold server when the lease that granted them has ended. */
	revokePermits(): void;
	setPeerInFlight(count: number): void;
	setConnectionShare(connections: number): void;
	/** Sets whether a warm server's requests in flight are limited to its slots, as a single entry that sends all of them can do. */
	setSlotsEnforced(isEnforced: boolean): void;
	/** Sets whether the entry queries the server before each request; if so, the server is available even while the control hosts report it absent. */
	setQueriedBeforeRequests(isQueriedBeforeRequests: boolean): void;
	/** Records the load that the server reported. */
	recordReading(reading: LoadReading, now: number): void;
	/** Gets the load that the server reported last, and when. */
	getLastReading(): {readonly reading: LoadReading; readonly at: number} | undefined;
	getInFlight(): number;
	/** Gets the number of requests that the entry has started on the server so far. */
	getStartCount(): number;
	/** Checks whether the server may be sent one more request. */
	isAvailable(now: number): boolean;
	/**
	 * Gets the load per slot.
	 * @param includesPeers - Whether requests in flight from peers count.
	 */
	getLoad(now: number, includesPeers: boolean): number;
	start(now?: number): void;
	finish(result: AttemptResult, now: number): void;
	/** Marks a server that counts as warm as cold in this entry; until the given time, if any, it gets no requests. */
	markCold(until?: number): void;
	/** Checks whether the server leaves, according to the control hosts or to itself. */
	isLeaving(): boolean;
	/** Marks the server as leaving for the rest of its boot, because it says so itself. Returns whether this is new. */
	markLeaving(): boolean;
	/** Sends the server nothing until a time, because it asked for a pause. Returns whether this extends its pause. */
	pause(until: number): boolean;
	/** Checks whether the server leaves or has asked for a pause that has not ended. */
	hasWithdrawn(now: number): boolean;
	/** Gets the end of the pause that the server asked for, or 0. */
	getPausedUntil(): number;
	/** Records that the server did not reply to a load query in time. */
	recordMissedReply(now: number): void;
	isEjected(now: number): boolean;
	/** Ejects the server if it has failed too often, and returns whether it was ejected. */
	ejectWhenFailing(limits: OutlierLimits, now: number): boolean;
	/** Gets the counts since the last call and resets them. */
	takeCounts(): {readonly successes: number; readonly sheds: number; readonly isCold: boolean};
	isCold(): boolean;
};

/**
 * Creates a candidate.
 * @param id - Id of one boot of the server.
 * @param initial - Announcement of the server.
 * @param initialState - State that the control hosts assigned.
 */
export function createCandidate(id: number, initial: Announcement, initialState: ServerState): Candidate {
	let announcement = initial;
	let state = initialState;
	let isAbsent = false;
	let permit = 0;
	let rate: number | undefined;
	/** Time of the last request to the cold server. It outlives the permit, so that one that is granted again allows no request at once. */
	let coldRequestAt = Number.NEGATIVE_INFINITY;
	let peerInFlight = 0;
	let connectionShare = initial.connections;
	let lastReading: {readonly reading: LoadReading; readonly at: number} | undefined;
	let inFlight = 0;
	let startCount = 0;
	const failures = createFailureLoad();
	const ejection = createOutlierEjection();
	let overcommit = overcommitFactor;
	let rampUpLimit = Number.POSITIVE_INFINITY;
	let hasBecomeCold = false;
	let unavailableUntil = 0;
	let pausedUntil = 0;
	let isLeaving = false;
	let isQueriedBeforeRequests = false;
	let successes = 0;
	let sheds = 0;

	/** Gets the maximum requests in flight from this entry to a cold server. */
	function getColdLimit(now: number): number {
		if (rate === undefined) {
			return permit;
		}

		return now >= coldRequestAt + (millisecondsPerSecond / rate) ? inFlight + 1 : 0;
	}

	function getLimit(now: number): number {
		const limit = state === 'cold' ? getColdLimit(now) : (announcement.slots * overcommit) - peerInFlight;
		const bounded = Math.min(limit, connectionShare, rampUpLimit);
		return ejection.isOnProbation() ? Math.min(1, bounded) : bounded;
	}

	function recordSuccess(): void {
		successes++;
		ejection.recordSuccess();
		rampUpLimit = rampUpLimit >= announcement.slots ? Number.POSITIVE_INFINITY : rampUpLimit + 1;
	}

	return {
		id,
		getAnnouncement: () => announcement,
		getState: () => state,
		isLeaving: () => isLeaving || state === 'leaving',
		hasWithdrawn: now => isLeaving || state === 'leaving' || pausedUntil > now,
		isAbsent: () => isAbsent,
		update(nextAnnouncement, nextState, nextIsAbsent) {
			if (state === 'cold' && nextState === 'warm') {
				rampUpLimit = Number.POSITIVE_INFINITY;
			}

			announcement = nextAnnouncement;
			state = nextState;
			isAbsent = nextIsAbsent;
		},
		setPermit(slots) {
			permit = slots;
		},
		getPermit: () => ({slots: permit, requestsPerSecond: rate}),
		setRate(requestsPerSecond) {
			rate = requestsPerSecond;
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
		setSlotsEnforced(isEnforced) {
			overcommit = isEnforced ? 1 : overcommitFactor;
		},
		setQueriedBeforeRequests(next) {
			isQueriedBeforeRequests = next;
		},
		recordReading(reading, at) {
			lastReading = {reading, at};
		},
		getLastReading: () => lastReading,
		getInFlight: () => inFlight,
		getStartCount: () => startCount,
		isAvailable(now) {
			const isPresent = !isLeaving && state !== 'leaving' && (!isAbsent || isQueriedBeforeRequests);
			return isPresent && Math.max(ejection.getEnd(), unavailableUntil, pausedUntil) <= now && inFlight < getLimit(now);
		},
		getLoad: (now, includesPeers) => (inFlight + (includesPeers ? peerInFlight : 0) + failures.get(now)) / announcement.slots,
		start(now = 0) {
			inFlight++;
			startCount++;
			if (state === 'cold') {
				coldRequestAt = now;
			}
		},
		finish(result, now) {
			inFlight--;
			switch (result) {
				case 'success': {
					recordSuccess();
					return;
				}

				case 'failure': {
					failures.add(failureLoad, now);
					ejection.recordFailure();
					return;
				}

				case 'shed': {
					sheds++;
					failures.add(failureLoad, now);
					return;
				}

				case 'cancelled': {
					if (inFlight === 0) {
						ejection.endProbation();
					}
				}
			}
		},
		markCold(until) {
			if (state === 'warm') {
				hasBecomeCold = true;
				rampUpLimit = 1;
				unavailableUntil = until ?? 0;
			}
		},
		markLeaving() {
			const isNew = !isLeaving;
			isLeaving = true;
			return isNew;
		},
		pause(until) {
			const isLonger = until > pausedUntil;
			pausedUntil = Math.max(pausedUntil, until);
			return isLonger;
		},
		getPausedUntil: () => pausedUntil,
		recordMissedReply(now) {
			failures.add(1, now, maximumMissedReplyLoad);
		},
		isEjected: now => ejection.getEnd() > now,
		ejectWhenFailing: ejection.ejectWhenFailing,
		takeCounts() {
			const counts = {successes, sheds, isCold: hasBecomeCold};
			successes = 0;
			sheds = 0;
			hasBecomeCold = false;
			return counts;
		},
		isCold: () => state === 'cold',
	};
}
