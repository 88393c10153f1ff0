/**
 * Detects that the host was suspended. The monotonic clock may stop during a suspension while the wall clock continues, so a
 * lease counted on the monotonic clock would still appear valid after a suspension of ten seconds. If both clocks continue,
 * nothing is detected, and the lease expires on the monotonic clock. An adjustment of the wall clock is detected as well; the
 * entry then revokes its permits, shortens its lease if the wall clock was put forward, and renews it at once.
 */

/** Change of the difference between the clocks, from one reading to the next, above which a suspension is assumed, in milliseconds. */
const toleratedJumpMilliseconds = 400;

/** Change that the two readings may differ by when they are taken one after the other, in milliseconds. Short suspensions above it add up, so the lease counts them. */
const readingErrorMilliseconds = 20;

/** Detector of suspensions of the host. */
export type SuspensionDetector = {
	/**
	 * Gets by how much the wall clock advanced more than the monotonic clock since the previous reading, in milliseconds, or 0 if that
	 * may be an error of the readings. A negative jump is no suspension, but may hide one.
	 */
	getJump(wallClock: number, monotonicClock: number): number;
};

/**
 * Checks whether a jump is so large that permits must be revoked, rather than only counted for the lease.
 * @param jump - Jump of the wall clock in milliseconds.
 */
export function isSuspension(jump: number): boolean {
	return Math.abs(jump) > toleratedJumpMilliseconds;
}

/** Creates a detector without a previous reading. */
export function createSuspensionDetector(): SuspensionDetector {
	let lastDifference: number | undefined;

	return {
		getJump(wallClock, monotonicClock) {
			const difference = wallClock - monotonicClock;
			const jump = difference - (lastDifference ?? difference);
			lastDifference = difference;
			return Math.abs(jump) > readingErrorMilliseconds ? jump : 0;
		},
	};
}
