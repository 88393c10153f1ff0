/**
 * Detects that the host was suspended. The monotonic clock may stop during a suspension while the wall clock continues, so a
 * lease counted on the monotonic clock would still appear valid after a suspension of ten seconds. If both clocks continue,
 * nothing is detected, and the lease expires on the monotonic clock. An adjustment of the wall clock is detected as well; the
 * entry then revokes its permits, which the next grant restores.
 */

/** Change of the difference between the clocks, from one reading to the next, above which a suspension is assumed, in milliseconds. */
const toleratedJumpMilliseconds = 400;

/** Detector of suspensions of the host. */
export type SuspensionDetector = {
	/** Checks whether the host was suspended since the previous reading. Both times are in milliseconds. */
	hasBeenSuspended(wallClock: number, monotonicClock: number): boolean;
};

/** Creates a detector without a previous reading. */
export function createSuspensionDetector(): SuspensionDetector {
	let lastDifference: number | undefined;

	return {
		hasBeenSuspended(wallClock, monotonicClock) {
			const difference = wallClock - monotonicClock;
			const isFirst = lastDifference === undefined;
			const jump = Math.abs(difference - (lastDifference ?? difference));
			lastDifference = difference;
			return !isFirst && jump > toleratedJumpMilliseconds;
		},
	};
}
