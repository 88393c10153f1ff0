/**
 * Distinguishes a sustained shortage of servers from a short burst, by the share of recent placements that
 * found no server with spare capacity. A sustained shortage arises when a zone is unavailable for some seconds and
 * refused callers retry, so that the load exceeds the capacity. Servers slow down when they are nearly full: in a
 * sustained shortage, requests beyond that point delay all others, whereas a short burst of requests is still answered
 * sooner if it is admitted than if it is refused.
 */

/** Weight of the newest placement in the moving average, which covers about the last ten placements. */
const smoothingFactor = 0.1;

/** Maximum share of placements without spare capacity that counts as no shortage, since uneven load causes as many. */
const noShortageShare = 0.2;

/** Share of placements without spare capacity from which on the shortage is full. */
const fullShortageShare = 0.6;

/** Shortage from which on it counts as sustained. */
export const sustainedShortage = 0.5;

/** Time after which a refused caller may retry, as a share of the duration of the shortage. */
const retryAfterShare = 0.5;

/** Minimum time after which a refused caller may retry, in milliseconds; without a shortage, other servers may answer it within its target. */
const minimumRetryAfterMilliseconds = 25;

/** Maximum time after which a refused caller may retry, in milliseconds; most callers wait no longer than some seconds. */
const maximumRetryAfterMilliseconds = 1500;

/** Time over which the retries of refused callers are spread, in milliseconds. */
const retryAfterJitterMilliseconds = 75;

/** Estimates the shortage of servers of a service. */
export type ShortageEstimate = {
	/**
	 * Records a placement.
	 * @param hasSpareCapacity - Whether a server below its knee, or a fast one beyond it, was found.
	 */
	recordPlacement(hasSpareCapacity: boolean, now: number): void;
	/** Gets the shortage, from 0 (none) to 1 (full). */
	getShortage(): number;
	/**
	 * Gets the time after which a refused caller may retry, in milliseconds.
	 * @param jitter - Number from 0 to 1 that spreads the retries of refused callers.
	 */
	getRetryAfterMilliseconds(now: number, jitter: number): number;
};

/** Creates the estimate for a service without requests. */
export function createShortageEstimate(): ShortageEstimate {
	let share = 0;
	let sustainedSince: number | undefined;

	function getShortage(): number {
		return Math.min(1, Math.max(0, (share - noShortageShare) / (fullShortageShare - noShortageShare)));
	}

	return {
		recordPlacement(hasSpareCapacity, now) {
			share += ((hasSpareCapacity ? 0 : 1) - share) * smoothingFactor;
			sustainedSince = getShortage() < sustainedShortage ? undefined : sustainedSince ?? now;
		},
		getShortage,
		getRetryAfterMilliseconds(now, jitter) {
			const duration = sustainedSince === undefined ? 0 : now - sustainedSince;
			const minimum = Math.max(minimumRetryAfterMilliseconds, duration * retryAfterShare);
			return Math.min(maximumRetryAfterMilliseconds, minimum + (retryAfterJitterMilliseconds * jitter));
		},
	};
}
