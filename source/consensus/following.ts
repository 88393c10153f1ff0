/** What a replica does with the log of a leader: stores entries and snapshots, and answers for what it holds. */
import {type Core} from './core.js';
import {type LogEntry, type ReplicaMessage} from './message.js';

type Append = Extract<ReplicaMessage, {readonly kind: 'append'}>;
type Install = Extract<ReplicaMessage, {readonly kind: 'install'}>;

/** A replica's side towards its leader. */
export type Following = {
	receiveAppend(from: string, message: Append): void;
	receiveInstall(from: string, message: Install): void;
	/** Forgets what an earlier leader was told. */
	reset(): void;
};

/** Options of a replica's side towards its leader. */
export type FollowingOptions = {
	readonly core: Core;
	readonly heartbeatMilliseconds: number;
	/** Follows a leader, in a term that is not older than the own one. */
	follow(leader: string, term: number): void;
};

/**
 * Creates a replica's side towards its leader.
 * @param options - Shared state and timing.
 */
export function createFollowing(options: FollowingOptions): Following {
	const {core, heartbeatMilliseconds} = options;
	const {log} = core;
	let answeredRound = 0;
	let answeredAt = Number.NEGATIVE_INFINITY;

	function followLeader(from: string, term: number): boolean {
		const isCurrent = term >= core.term;
		if (isCurrent) {
			options.follow(from, term);
		}

		return isCurrent;
	}

	function answer(to: string, isSuccess: boolean, index: number, round: number, isAfterSync = true): void {
		core.send(to, {
			kind: 'appended', term: core.term, isSuccess, index, round,
		}, isAfterSync);
	}

	/**
	 * Answers an append up to what is synced. That this replica follows the leader is
	 * true before any sync, so a slow disk delays commits and neither heartbeats nor leases.
	 */
	function answerMatch(to: string, matchIndex: number, round: number): void {
		const syncedIndex = Math.min(matchIndex, core.durableIndex);
		const isAwaited = round > answeredRound || matchIndex === syncedIndex || core.now - answeredAt >= heartbeatMilliseconds;
		if (isAwaited) {
			answeredRound = round;
			answeredAt = core.now;
			answer(to, true, syncedIndex, round, false);
		}

		if (matchIndex > syncedIndex) {
			answer(to, true, matchIndex, round);
		}
	}

	function store(entries: readonly LogEntry[]): void {
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
		core.act({kind: 'persistEntries', entries: added, truncateFrom});
	}

	function install(message: Install): void {
		const {snapshot} = message;
		core.snapshot = snapshot;
		if (log.getTerm(snapshot.index) !== snapshot.term) {
			// Of the old log only what was committed is known to match the snapshot.
			core.durableIndex = Math.min(core.durableIndex, core.commitIndex);
			log.truncate(log.getFirstIndex());
		}

		log.compact(snapshot.index, snapshot.term);
		core.refreshMembership();
		core.commitIndex = snapshot.index;
		core.act({kind: 'persistSnapshot', snapshot});
		core.act({kind: 'restore', snapshot});
	}

	return {
		receiveAppend(from, message) {
			if (!followLeader(from, message.term)) {
				answer(from, false, log.getLastIndex(), 0);
				return;
			}

			const {previousIndex, entries} = message;
			const covered = log.getFirstIndex() - 1;
			const lastNew = Math.max(previousIndex + entries.length, covered);
			if (previousIndex >= covered && log.getTerm(previousIndex) !== message.previousTerm) {
				answer(from, false, Math.min(log.getLastIndex(), previousIndex - 1), message.round);
				return;
			}

			store(entries.filter(entry => entry.index > covered));
			core.advanceCommit(Math.min(message.commitIndex, lastNew));
			answerMatch(from, lastNew, message.round);
		},
		receiveInstall(from, message) {
			if (!followLeader(from, message.term)) {
				answer(from, false, log.getLastIndex(), 0);
				return;
			}

			if (message.snapshot.index > core.commitIndex) {
				install(message);
			}

			answer(from, true, message.snapshot.index, message.round);
		},
		reset() {
			answeredRound = 0;
			answeredAt = Number.NEGATIVE_INFINITY;
		},
	};
}
