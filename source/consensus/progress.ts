/** Replication state that a leader tracks for one other replica. */
export type Progress = {
	nextIndex: number;
	matchIndex: number;
	/** Time of the last response in milliseconds; before the first one, the time at which the leader began to send. */
	lastResponseAt: number;
	/** Whether the replica has responded to this leader. */
	hasResponded: boolean;
	/** Highest confirmation round that the replica has acknowledged. */
	round: number;
	/** Time at which the last append was sent, in milliseconds. */
	appendSentAt: number;
	/** Time at which the last snapshot was sent, in milliseconds; negative infinity if none is in flight. */
	snapshotSentAt: number;
	/** Number of snapshots sent since the replica could last be updated from the log. */
	snapshotsSent: number;
};

/**
 * Creates the progress of a replica whose log is not known yet.
 * @param nextIndex - Index of the first entry to send.
 * @param now - Time in milliseconds.
 */
export function createProgress(nextIndex: number, now: number): Progress {
	return {
		nextIndex, matchIndex: 0, lastResponseAt: now, hasResponded: false, round: 0, appendSentAt: Number.NEGATIVE_INFINITY, snapshotSentAt: Number.NEGATIVE_INFINITY, snapshotsSent: 0,
	};
}
