/**
 * Estimates how much of its time a caller has spent before it came here. Load pattern: in a
 * shortage most requests are callers that were refused elsewhere and return. They tell only
 * how long they will still wait; against the longest wait that was told of late, what is
 * missing has been spent.
 */

/** Time for which the longest wait is remembered, in milliseconds; a route's callers come at least once in that time where it matters. */
const rememberedMilliseconds = 5000;

/** Estimates spent times for one kind of request. */
export type ElapsedEstimate = {
	/**
	 * Takes the wait that a caller tells, and gets the time that it has spent, both in milliseconds.
	 * @param wait - Wait that is left.
	 */
	estimate(wait: number, now: number): number;
};

/** Creates an estimate that has seen no caller. */
export function createElapsedEstimate(): ElapsedEstimate {
	let longest = 0;
	let seenAt = Number.NEGATIVE_INFINITY;
	return {
		estimate(wait, now) {
			if (wait >= longest || now - seenAt > rememberedMilliseconds) {
				longest = wait;
				seenAt = now;
			}

			return longest - wait;
		},
	};
}
