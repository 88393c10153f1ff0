/** Replicates a leader's log to the other members and tracks the progress of each. */
import {type Core} from './core.js';
import {createProgress, type Progress} from './progress.js';

const maximumEntriesPerAppend = 256;

/** Number of election timeouts after which an unacknowledged snapshot is sent again; it doubles with each attempt. */
const snapshotTimeoutElections = 10;
const maximumSnapshotBackoffExponent = 8;

/** Replication of the log to the other members. */
export type Replication = {
	/** Starts replication to all members, whose logs are not known yet. */
	start(): void;
	/** Starts replication to the members that a new membership added. */
	addMembers(): void;
	/** Sends each member its missing entries or snapshot, or a heartbeat. */
	broadcast(): void;
	/** Sends a member its missing entries or snapshot. */
	send(member: string): void;
	/** Sends new entries to the members that responded within two heartbeats. */
	sendToRecentlyActive(): void;
	/** Resets the next index of members whose response is overdue to the entry after their match index. */
	rewindUnacknowledged(): void;
	/** Records a member's response and returns its progress, or undefined if it is not a member. */
	recordResponse(member: string, round: number): Progress | undefined;
	/** Records that a log matches up to an index. */
	recordMatch(state: Progress, index: number): void;
	/** Records that a log did not match at the previous index, and moves the next index back to the hint. */
	recordMismatch(state: Progress, hintIndex: number): void;
	getProgress(member: string): Progress | undefined;
	/** Checks whether a member responded within two election timeouts. */
	isActive(member: string): boolean;
};

/** Options of replication. */
export type ReplicationOptions = {
	readonly core: Core;
	readonly electionMilliseconds: number;
	readonly heartbeatMilliseconds: number;
	/** Gets the number of the current confirmation round. */
	getRound(): number;
};

/**
 * Creates replication without members.
 * @param options - Shared state and timing.
 */
export function createReplication(options: ReplicationOptions): Replication {
	const {core, electionMilliseconds, heartbeatMilliseconds} = options;
	const {log} = core;
	let progress = new Map<string, Progress>();

	/** Checks whether the entry before the next one for a member is compacted, so that the member needs a snapshot. */
	function needsSnapshot(state: Progress): boolean {
		return log.getTerm(state.nextIndex - 1) === undefined;
	}

	function isInactive(state: Progress): boolean {
		return core.now - state.lastResponseAt >= electionMilliseconds * 2;
	}

	/** Sends a heartbeat to a member that needs a snapshot. An empty append after index 0 matches any log. */
	function sendHeartbeat(member: string): void {
		core.send(member, {
			kind: 'append', term: core.term, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: core.commitIndex, round: options.getRound(),
		}, false);
	}

	function send(member: string): void {
		const state = progress.get(member);
		if (state === undefined) {
			return;
		}

		const previousIndex = state.nextIndex - 1;
		const previousTerm = log.getTerm(previousIndex);
		if (previousTerm === undefined) {
			sendSnapshot(member, state);
			return;
		}

		const entries = log.getRange(state.nextIndex, maximumEntriesPerAppend);
		state.nextIndex += entries.length;
		state.appendSentAt = core.now;
		core.send(member, {
			kind: 'append', term: core.term, previousIndex, previousTerm, entries, commitIndex: core.commitIndex, round: options.getRound(),
		}, false);
	}

	/** Sends a snapshot to an active member that has responded, unless one is in flight. */
	function sendSnapshot(member: string, state: Progress): void {
		if (!state.hasResponded || isInactive(state)) {
			// A snapshot in flight may be lost.
			state.snapshotSentAt = Number.NEGATIVE_INFINITY;
			return;
		}

		const snapshotTimeout = electionMilliseconds * snapshotTimeoutElections * (2 ** Math.min(state.snapshotsSent - 1, maximumSnapshotBackoffExponent));
		const {snapshot} = core;
		if (snapshot === undefined || core.now - state.snapshotSentAt < snapshotTimeout) {
			return;
		}

		state.snapshotSentAt = core.now;
		state.snapshotsSent++;
		core.send(member, {
			kind: 'install', term: core.term, snapshot, round: options.getRound(),
		}, false);
	}

	return {
		start() {
			progress = new Map(core.getOthers().map(member => [member, createProgress(log.getLastIndex() + 1, core.now)]));
		},
		addMembers() {
			for (const member of core.getOthers()) {
				if (!progress.has(member)) {
					progress.set(member, createProgress(log.getLastIndex(), core.now));
				}
			}
		},
		broadcast() {
			for (const member of core.getOthers()) {
				const state = progress.get(member);
				if (state !== undefined && needsSnapshot(state)) {
					sendHeartbeat(member);
				}

				send(member);
			}
		},
		send,
		sendToRecentlyActive() {
			for (const member of core.getOthers()) {
				const state = progress.get(member);
				if (state !== undefined && core.now - state.lastResponseAt <= heartbeatMilliseconds * 2) {
					send(member);
				}
			}
		},
		rewindUnacknowledged() {
			for (const state of progress.values()) {
				const isOverdue = core.now - state.lastResponseAt > heartbeatMilliseconds * 2;
				const isUnacknowledged = state.matchIndex + 1 < state.nextIndex && core.now - state.appendSentAt >= heartbeatMilliseconds;
				if (isOverdue || isUnacknowledged) {
					state.nextIndex = state.matchIndex + 1;
				}
			}
		},
		recordResponse(member, round) {
			const state = progress.get(member);
			if (state !== undefined) {
				state.lastResponseAt = core.now;
				state.hasResponded = true;
				state.round = Math.max(state.round, round);
			}

			return state;
		},
		recordMatch(state, index) {
			state.matchIndex = Math.max(state.matchIndex, index);
			state.nextIndex = Math.max(state.nextIndex, state.matchIndex + 1);
			if (!needsSnapshot(state)) {
				state.snapshotSentAt = Number.NEGATIVE_INFINITY;
				state.snapshotsSent = 0;
			}
		},
		recordMismatch(state, hintIndex) {
			state.nextIndex = Math.max(state.matchIndex + 1, Math.min(state.nextIndex - 1, hintIndex + 1));
		},
		getProgress: member => progress.get(member),
		isActive(member) {
			const state = progress.get(member);
			return state !== undefined && !isInactive(state);
		},
	};
}
