/**
 * Detects that this process did not run for a while: it was stopped, its machine was suspended, or its event loop was blocked. Calls that it
 * reads right after that may have waited unread, and their senders may have given up and sent later calls elsewhere.
 */

/** Time between two observations, beyond the regular interval, from which on a stall is assumed, in milliseconds. */
const toleratedGapMilliseconds = 500;

/** Time after a stall within which the calls that arrived during it are read, in milliseconds. */
const catchUpMilliseconds = 500;

/** Readings of both clocks, in milliseconds. The monotonic clock may stop while a machine is suspended. */
export type ClockReading = {readonly wall: number; readonly monotonic: number};

/** Detector of stalls. */
export type StallDetector = {
	/** Records that the process runs; must be called at a regular interval. */
	observe(reading: ClockReading): void;
	/** Checks whether calls that are read now may have waited during a stall. */
	hasStalledRecently(reading: ClockReading): boolean;
};

/**
 * Creates a detector without an observation.
 * @param intervalMilliseconds - Regular interval of the observations.
 * @param onStall - Called with the duration of each stall.
 */
export function createStallDetector(intervalMilliseconds: number, onStall?: (milliseconds: number) => void): StallDetector {
	let last: ClockReading | undefined;
	let stallEndedAt = Number.NEGATIVE_INFINITY;

	function observe(reading: ClockReading): void {
		const gap = last === undefined ? 0 : Math.max(reading.wall - last.wall, reading.monotonic - last.monotonic);
		last = reading;
		if (gap > intervalMilliseconds + toleratedGapMilliseconds) {
			stallEndedAt = reading.monotonic;
			onStall?.(gap);
		}
	}

	return {
		observe,
		hasStalledRecently(reading) {
			observe(reading);
			return reading.monotonic - stallEndedAt < catchUpMilliseconds;
		},
	};
}
