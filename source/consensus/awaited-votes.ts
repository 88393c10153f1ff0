/** Votes for which a candidate waits: the time that others may take to sync them, and the replicas whose votes can still come. */

/** Number of syncs for which a vote may wait on another replica: the one that is under way, and its own. */
const syncsOfOthers = 2;

/** Most election timeouts for which a candidate waits for a replica that runs. */
const maximumPatience = 31;

type Answer = {readonly term: number; readonly isPreVote: boolean; readonly isGranted: boolean};

/** Awaited votes of one replica. */
export type AwaitedVotes = {
	/** Discards what other replicas answered to the previous pre-vote. */
	restart(): void;
	/** Records that a replica answered the pre-vote, and so runs, or granted its vote in the current term. */
	recordAnswer(from: string, answer: Answer, term: number): void;
	/**
	 * Records that a replica denied its vote. Returns whether no other one is awaited; then the time that was allowed for syncs after a
	 * single long one must not delay the next election.
	 */
	recordDenial(from: string): boolean;
	/** Records the time of a sync of this replica. Returns the time that others may take for theirs, in milliseconds. */
	recordSync(now: number, syncMilliseconds: number): number;
	/** Counts an election, which allows it twice the patience of the one before. */
	startElection(): void;
	/**
	 * Takes the patience of the election: the number of election timeouts for which the candidate waits on, if a replica runs that
	 * has not denied its vote. Its disk may be slower than the candidate's, and a new election would end this one.
	 */
	takePatience(): number;
	/** Starts again without patience, because there is a leader. */
	resetPatience(): void;
	/** Checks whether votes may be on their way. */
	areDue(now: number): boolean;
};

/** Creates the awaited votes of a replica that has requested none. */
export function createAwaitedVotes(): AwaitedVotes {
	/** Replicas that run and have neither granted nor denied their votes. */
	const running = new Set<string>();
	let elections = 0;
	let patience = 0;
	let dueAt = Number.NEGATIVE_INFINITY;

	return {
		restart() {
			running.clear();
		},
		recordAnswer(from, answer, term) {
			if (answer.isPreVote) {
				running.add(from);
			} else if (answer.isGranted && answer.term === term) {
				running.delete(from);
			}
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
		startElection() {
			patience = Math.min((2 ** elections) - 1, maximumPatience);
			elections++;
		},
		takePatience() {
			const taken = running.size > 0 ? patience : 0;
			patience = 0;
			return taken;
		},
		resetPatience() {
			elections = 0;
		},
		areDue: now => now < dueAt,
	};
}
