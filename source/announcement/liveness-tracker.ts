/**
 * Tracks when the leader last received an announcement of each server. Servers are kept in the order
 * of their last announcement, so the cost of finding the expired ones is proportional to their number.
 */

/** Liveness of the servers, tracked by one leader for its term of leadership. */
export type LivenessTracker = {
	/** Records an announcement of a server. */
	recordAnnouncement(id: number, now: number): void;
	/** Checks whether the last announcement of a server is older than the timeout. */
	isExpired(id: number, now: number): boolean;
	/** Gets the servers whose last announcement is older than the timeout, oldest first. */
	getExpired(now: number): readonly number[];
	/** Gets the time since the last announcement of a server, or since the start of the leadership if there was none. */
	getSilenceMilliseconds(id: number, now: number): number;
	remove(id: number): void;
};

/**
 * Creates a liveness tracker for one leadership.
 * @param startedAt - Start of the leadership in milliseconds.
 * @param timeoutMilliseconds - Time without an announcement after which a server counts as expired.
 * @param registeredIds - Servers that are already registered; they count as announced at `startedAt`.
 */
export function createLivenessTracker(startedAt: number, timeoutMilliseconds: number, registeredIds: Iterable<number>): LivenessTracker {
	const lastAnnouncedAt = new Map<number, number>();
	for (const id of registeredIds) {
		lastAnnouncedAt.set(id, startedAt);
	}

	function getSilenceMilliseconds(id: number, now: number): number {
		return now - (lastAnnouncedAt.get(id) ?? startedAt);
	}

	return {
		recordAnnouncement(id, now) {
			lastAnnouncedAt.delete(id);
			lastAnnouncedAt.set(id, now);
		},
		isExpired: (id, now) => getSilenceMilliseconds(id, now) > timeoutMilliseconds,
		getExpired(now) {
			const expired: number[] = [];
			for (const [id, at] of lastAnnouncedAt) {
				if (now - at <= timeoutMilliseconds) {
					break;
				}

				expired.push(id);
			}

			return expired;
		},
		getSilenceMilliseconds,
		remove(id) {
			lastAnnouncedAt.delete(id);
		},
	};
}
