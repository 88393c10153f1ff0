/**
 * Tells a standing shortage of servers from a short burst. Load pattern: a zone is away for
 * some seconds while callers press and return, so that all requests together need more than
 * there is. Servers that are nearly full work slower, so in a standing shortage what is let
 * in beyond that costs every request; in a burst of a few requests it is still quicker than
 * a refusal. The sign is the share of recent placements that found no server below its knee.
 */

/** Weight of the newest placement in the share: about the last ten placements count. */
const newestWeight = 0.1;

/** Share of placements without a server below its knee up to which there is no shortage: uneven load makes as many. */
const ordinaryShare = 0.2;

/** Share of such placements at which the shortage counts as whole. */
const wholeShortageShare = 0.6;

/** Shortage from which on the time of its lasting is counted. */
const standingShortage = 0.5;

/** Part of the time that a shortage has lasted after which a refused caller may return. */
const returnShare = 0.5;

/** Shortest time after which a refused caller may return, in milliseconds: without a shortage another draw of servers may serve it within its target. */
const shortestReturnMilliseconds = 25;

/** Longest time after which a refused caller may return, in milliseconds: most callers have no more than some seconds. */
const longestReturnMilliseconds = 1500;

/** Time over which returning callers are spread, in milliseconds. */
const returnSpreadMilliseconds = 75;

/** How short of servers a service is. */
export type ShortageEstimate = {
	/** Takes a placement; `isRelieved` says that it found a server below its knee. */
	recordPlacement(isRelieved: boolean, now: number): void;
	/** Gets the shortage, from 0 for none to 1 for a whole one. */
	getShortage(): number;
	/**
	 * Gets the time after which a refused caller may return, in milliseconds.
	 * @param draw - Number from 0 to 1 that spreads callers.
	 */
	getRetryAfterMilliseconds(now: number, draw: number): number;
};

/** Creates the pressure of a service that has had no requests. */
export function createShortageEstimate(): ShortageEstimate {
	let share = 0;
	let standingFrom: number | undefined;

	function getShortage(): number {
		return Math.min(1, Math.max(0, (share - ordinaryShare) / (wholeShortageShare - ordinaryShare)));
	}

	return {
		recordPlacement(isRelieved, now) {
			share += ((isRelieved ? 0 : 1) - share) * newestWeight;
			standingFrom = getShortage() < standingShortage ? undefined : standingFrom ?? now;
		},
		getShortage,
		getRetryAfterMilliseconds(now, draw) {
			const lasted = standingFrom === undefined ? 0 : now - standingFrom;
			const shortest = Math.max(shortestReturnMilliseconds, lasted * returnShare);
			return Math.min(longestReturnMilliseconds, shortest + (returnSpreadMilliseconds * draw));
		},
	};
}
