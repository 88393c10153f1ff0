/**
 * Notices that a host was suspended: the steady clock stops meanwhile and the time of
 * day goes on, or both go on and no turn of the loop ran. A lease that is counted on the
 * steady clock would still look valid after ten seconds of sleep. A time of day that is
 * set by hand looks the same and costs a lease, which the next renewal brings back.
 */

/** Difference between two clocks, or between two looks at them, that counts as a suspension, in milliseconds. */
const toleratedJumpMilliseconds = 400;

/** Watches two clocks. */
export type SuspensionDetector = {
	/** Checks whether the host was suspended since the last look. */
	hasBeenSuspended(wallClock: number, monotonicClock: number): boolean;
};

/** Creates a watch that has not looked yet. */
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
