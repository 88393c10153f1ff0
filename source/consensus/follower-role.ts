/** Follower side of log replication: stores the entries and snapshots of a leader and acknowledges what is stored. */
import {type Core} from './core.js';
import {type LogEntry, type ReplicaMessage} from './message.js';

type Append = Extract<ReplicaMessage, {readonly kind: 'append'}>;
type Install = Extract<ReplicaMessage, {readonly kind: 'install'}>;

/** Follower role of a replica. */
export type FollowerRole = {
	receiveAppend(from: string, message: Append): void;
	receiveInstall(from: string, message: Install): void;
	/** Resets the acknowledgements that were sent to an earlier leader. */
	reset(): void;
};

/** Options of a follower role. */
export type FollowerRoleOptions = {
	readonly core: Core;
	readonly heartbeatMilliseconds: number;
	/** Follows a leader in a term that is not older than the current one. */
	followLeader(leader: string, term: number): void;
};

/**
 * Creates the follower role of a replica.
 * @param options - Shared state, timing and callbacks.
 */
export function createFollowerRole(options: FollowerRoleOptions): FollowerRole {
	const {core, heartbeatMilliseconds} = options;
	const {log} = core;
	let acknowledgedRound = 0;
	let acknowledgedAt = Number.NEGATIVE_INFINITY;

	/** Follows the sender of a message, unless its term is older than the current one. */
	function acceptLeader(from: string, term: number): boolean {
		const isCurrent = term >= core.term;
		if (isCurrent) {
			options.followLeader(from, term);
		}

		return isCurrent;
	}

	function respond(to: string, isSuccess: boolean, index: number, round: number, isAfterSync = true): void {
		core.send(to, {
			kind: 'appended', term: core.term, isSuccess, index, round,
		}, isAfterSync);
	}

	/**
	 * Acknowledges an append at once up to the synced index, and the rest after the sync. The first response also confirms the
	 * leader, which needs no sync, so a slow disk delays commits but neither heartbeats nor leases.
	 */
	function acknowledgeMatch(to: string, matchIndex: number, round: number): void {
		const syncedIndex = Math.min(matchIndex, core.durableIndex);
		const isResponseDue = round > acknowledgedRound || matchIndex === syncedIndex || core.now - acknowledgedAt >= heartbeatMilliseconds;
		if (isResponseDue) {
			acknowledgedRound = round;
			acknowledgedAt = core.now;
			respond(to, true, syncedIndex, round, false);
		}

		if (matchIndex > syncedIndex) {
			respond(to, true, matchIndex, round);
		}
	}

	function storeEntries(entries: readonly LogEntry[]): void {
		const firstNew = entries.findIndex(entry => log.getTerm(entry.index) !== entry.term);
		if (firstNew === -1) {
			return;
		}

		const added = entries.slice(firstNew);
		const truncateFrom = added[0]!.index;
		if (truncateFrom <= log.getLastIndex()) {
			log.truncate(truncateFrom);
			core.durableIndex = Math.min(core.durableIndex, truncateFrom - 1);
		}

		for (const entry of added) {
			log.append(entry);
		}

		core.refreshMembership();
		core.addAction({kind: 'persistEntries', entries: added, truncateFrom});
	}

	function installSnapshot(message: Install): void {
		const {snapshot} = message;
		core.snapshot = snapshot;
		if (log.getTerm(snapshot.index) !== snapshot.term) {
			// Only the committed part of the old log is known to match the snapshot.
			core.durableIndex = Math.min(core.durableIndex, core.commitIndex);
			log.truncate(log.getFirstIndex());
		}

		log.compact(snapshot.index, snapshot.term);
		core.refreshMembership();
		core.commitIndex = snapshot.index;
		core.addAction({kind: 'persistSnapshot', snapshot});
		core.addAction({kind: 'restore', snapshot});
	}

	return {
		receiveAppend(from, message) {
			if (!acceptLeader(from, message.term)) {
				respond(from, false, log.getLastIndex(), 0);
				return;
			}

			const {previousIndex, entries} = message;
			const snapshotIndex = log.getFirstIndex() - 1;
			const lastNewIndex = Math.max(previousIndex + entries.length, snapshotIndex);
			if (previousIndex >= snapshotIndex && log.getTerm(previousIndex) !== message.previousTerm) {
				respond(from, false, Math.min(log.getLastIndex(), previousIndex - 1), message.round);
				return;
			}

			storeEntries(entries.filter(entry => entry.index > snapshotIndex));
			core.advanceCommit(Math.min(message.commitIndex, lastNewIndex));
			acknowledgeMatch(from, lastNewIndex, message.round);
		},
		receiveInstall(from, message) {
			if (!acceptLeader(from, message.term)) {
				respond(from, false, log.getLastIndex(), 0);
				return;
			}

			if (message.snapshot.index > core.commitIndex) {
				installSnapshot(message);
			}

			respond(from, true, message.snapshot.index, message.round);
		},
		reset() {
			acknowledgedRound = 0;
			acknowledgedAt = Number.NEGATIVE_INFINITY;
		},
	};
}
