/** Votes for which a candidate waits: the time that others may take to sync them, and the replicas whose votes can still come. */

/** Number of syncs for which a vote may wait on another replica: the one that is under way, and its own. */
const syncsOfOthers = 2;

/** Awaited votes of one replica. */
export type AwaitedVotes = {
	/** Discards what other replicas answered to the previous pre-vote. */
	restart(): void;
	/** Records that a replica answered the pre-vote, and so runs. */
	recordAnswer(from: string): void;
	/** Records that a replica denied its vote. Returns whether all replicas that run have done so; then votes are no longer due. */
	recordDenial(from: string): boolean;
	/** Records the time of a sync of this replica. Returns the time that others may take for theirs, in milliseconds. */
	recordSync(now: number, syncMilliseconds: number): number;
	/** Checks whether votes may be on their way. */
	areDue(now: number): boolean;
};

/** Creates the awaited votes of a replica that has requested none. */
export function createAwaitedVotes(): AwaitedVotes {
	const running = new Set<string>();
	let dueAt = Number.NEGATIVE_INFINITY;

	return {
		restart() {
			running.clear();
		},
		recordAnswer(from) {
			running.add(from);
		},
		recordDenial(from) {
			running.delete(from);
			if (running.size > 0) {
				return false;
			}

			dueAt = Number.NEGATIVE_INFINITY;
			return true;
		},
		recordSync(now, syncMilliseconds) {
			const milliseconds = syncMilliseconds * syncsOfOthers;
			dueAt = now + milliseconds;
			return milliseconds;
		},
		areDue: now => now < dueAt,
	};
}
