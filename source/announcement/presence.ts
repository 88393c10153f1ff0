/**
 * When the leader last heard of each server. Servers are kept in the order in which
 * they were heard, so that finding the silent ones costs as much as there are.
 */

/** Presence of servers under one leadership. */
export type Presence = {
	/** Notes that a server announced itself. */
	heard(id: number, now: number): void;
	/** Checks whether a server has been silent for longer than is allowed. */
	isAbsent(id: number, now: number): boolean;
	/** Gets the servers that have been silent for longer than is allowed, the most silent first. */
	getAbsent(now: number): readonly number[];
	/** Gets the time since a server was last heard of, in milliseconds. */
	getSilence(id: number, now: number): number;
	forget(id: number): void;
};

/**
 * Creates presence for a leadership.
 * @param startedAt - Start of the leadership in milliseconds.
 * @param allowedMilliseconds - Silence after which a server counts as absent.
 * @param known - Servers that were registered before; they count as heard at the start.
 */
export function createPresence(startedAt: number, allowedMilliseconds: number, known: Iterable<number>): Presence {
	const heardAt = new Map<number, number>();
	for (const id of known) {
		heardAt.set(id, startedAt);
	}

	function getSilence(id: number, now: number): number {
		return now - (heardAt.get(id) ?? startedAt);
	}

	return {
		heard(id, now) {
			heardAt.delete(id);
			heardAt.set(id, now);
		},
		isAbsent: (id, now) => getSilence(id, now) > allowedMilliseconds,
		getAbsent(now) {
			const absent: number[] = [];
			for (const [id, at] of heardAt) {
				if (now - at <= allowedMilliseconds) {
					break;
				}

				absent.push(id);
			}

			return absent;
		},
		getSilence,
		forget(id) {
			heardAt.delete(id);
		},
	};
}
