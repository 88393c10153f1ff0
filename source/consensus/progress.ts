/** What a leader knows of one other replica. */
export type Progress = {
	nextIndex: number;
	matchIndex: number;
	/** Time of the last answer in milliseconds. */
	lastResponseAt: number;
	/** Highest confirmation round that the replica has answered. */
	round: number;
	/** Time at which the last append was sent, in milliseconds. */
	sentAt: number;
	/** Time at which a snapshot was sent, in milliseconds. */
	installAt: number;
	/** Snapshots sent since the replica last needed none. */
	installs: number;
};

/**
 * Creates the progress of a replica that a new leader knows nothing of.
 * @param nextIndex - First index to send.
 * @param now - Time in milliseconds.
 */
export function createProgress(nextIndex: number, now: number): Progress {
	return {
		nextIndex, matchIndex: 0, lastResponseAt: now, round: 0, sentAt: Number.NEGATIVE_INFINITY, installAt: Number.NEGATIVE_INFINITY, installs: 0,
	};
}
