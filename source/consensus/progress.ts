/** What a leader knows of one other replica. */
export type Progress = {
	nextIndex: number;
	matchIndex: number;
	/** Time of the last answer in milliseconds. */
	lastResponseAt: number;
	/** Highest confirmation round that the replica has answered. */
	round: number;
	/** Time at which the last append was sent, in milliseconds. */
	appendSentAt: number;
	/** Time at which a snapshot was sent, in milliseconds. */
	snapshotSentAt: number;
	/** Snapshots sent since the replica last needed none. */
	snapshotsSent: number;
};

/**
 * Creates the progress of a replica that a new leader knows nothing of.
 * @param nextIndex - First index to send.
 * @param now - Time in milliseconds.
 */
export function createProgress(nextIndex: number, now: number): Progress {
	return {
		nextIndex, matchIndex: 0, lastResponseAt: now, round: 0, appendSentAt: Number.NEGATIVE_INFINITY, snapshotSentAt: Number.NEGATIVE_INFINITY, snapshotsSent: 0,
	};
}
