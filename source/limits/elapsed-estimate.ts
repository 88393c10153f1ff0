/**
 * Estimates how much of its time a caller has spent before its request arrived. In a shortage most
 * requests come from callers that return after a refusal elsewhere, and a request states only how long
 * its caller will still wait. The estimate is the difference from the longest wait of recent requests.
 */

/** Time for which the longest wait is kept, in milliseconds; a route whose load makes the estimate matter gets new callers within it. */
const longestWaitRetentionMilliseconds = 5000;

/** Estimates elapsed times for one kind of request. */
export type ElapsedEstimate = {
	/**
	 * Gets the estimated time in milliseconds that a caller has spent, and records its remaining wait.
	 * @param wait - Remaining wait in milliseconds, as stated by the request.
	 */
	estimate(wait: number, now: number): number;
};

/** Creates an estimate without recorded waits. */
export function createElapsedEstimate(): ElapsedEstimate {
	let longest = 0;
	let longestObservedAt = Number.NEGATIVE_INFINITY;
	return {
		estimate(wait, now) {
			if (wait >= longest || now - longestObservedAt > longestWaitRetentionMilliseconds) {
				longest = wait;
				longestObservedAt = now;
			}

			return longest - wait;
		},
	};
}
