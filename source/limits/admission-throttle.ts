/**
 * Limits requests that yield to others, those of workspaces that use more than their share or have a lower priority, to what the others
 * leave. The share of them that may be placed falls whenever a request finds no spare capacity, and rises slowly while requests find
 * some (additive increase and multiplicative decrease, as in congestion control).
 */

/** Factor of the share when a request finds no spare capacity. */
const decreaseFactor = 0.6;

/** Increase of the share when a request finds spare capacity. With the decrease, it keeps those that find none below a tenth. */
const increase = 0.03;

/** Throttle of the requests that yield to others. */
export type AdmissionThrottle = {
	/** Records the placement of a request that the throttle protects. */
	recordPlacement(hasSpareCapacity: boolean): void;
	/**
	 * Checks whether a request that yields may be placed.
	 * @param draw - Random number from 0 to 1.
	 */
	mayPlace(draw: number): boolean;
};

/** Creates a throttle that lets all requests pass. */
export function createAdmissionThrottle(): AdmissionThrottle {
	let share = 1;
	return {
		recordPlacement(hasSpareCapacity) {
			share = hasSpareCapacity ? Math.min(1, share + increase) : share * decreaseFactor;
		},
		mayPlace: draw => draw < share,
	};
}
