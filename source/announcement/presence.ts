/**
 * Soft state of announcements in the leader: when each server was last heard of.
 * A new leader knows no times, so it counts from the start of its leadership.
 */

/** When servers were last heard of. */
export type Presence = {
	heard(id: number, now: number): void;
	/** Checks whether a server has been silent for longer than the allowed time. */
	isAbsent(id: number, now: number): boolean;
	/** Gets the time since a server was last heard of, in milliseconds. */
	getSilence(id: number, now: number): number;
	forget(id: number): void;
};

/**
 * Creates presence for a leadership.
 * @param startedAt - Start of the leadership in milliseconds.
 * @param allowedMilliseconds - Silence after which a server counts as absent.
 */
export function createPresence(startedAt: number, allowedMilliseconds: number): Presence {
	const heardAt = new Map<number, number>();

	function getSilence(id: number, now: number): number {
		return now - (heardAt.get(id) ?? startedAt);
	}

	return {
		heard(id, now) {
			heardAt.set(id, now);
		},
		isAbsent: (id, now) => getSilence(id, now) > allowedMilliseconds,
		getSilence,
		forget(id) {
			heardAt.delete(id);
		},
	};
}
