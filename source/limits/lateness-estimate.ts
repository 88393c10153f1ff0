/**
 * Estimates how long messages wait for the event loop of this entry, from the lateness of a regular timer. A request waits several
 * times: for its head, the reply to a load query and the response to be read. When these waits take most of its target latency, it is
 * better refused at once, so that its caller reaches another entry, and the requests that are accepted are answered in time.
 */

/** Weight of the newest observation in the moving average. */
const smoothingFactor = 0.1;

/** Factor of the timer's interval beyond which lateness does not count, since a single stall is over when it is seen. */
const maximumLatenessFactor = 2;

/** Number of times that a request waits for the event loop. */
const waitsPerRequest = 4;

/** Share of the target latency that the waits may take before requests are refused; most of the rest is the time at the server. */
const acceptableTargetShare = 0.2;

/** Share of the target latency from which on nearly all requests are refused, since hardly any would be in time. */
const hopelessTargetShare = 0.5;

/** Largest share of the requests that are refused; the others show when the entry has recovered. */
const maximumRefusedShare = 0.9;

/** Estimate of the lateness of the event loop. */
export type LatenessEstimate = {
	/** Records that the timer has fired; must be called at its interval. */
	observe(now: number): void;
	/** Gets the estimated lateness in milliseconds. */
	getMilliseconds(): number;
	/**
	 * Checks whether a request should be refused.
	 * @param targetMilliseconds - Target latency of the request.
	 * @param draw - Random number from 0 to 1.
	 */
	shouldRefuse(targetMilliseconds: number, draw: number): boolean;
};

/**
 * Creates an estimate without observations.
 * @param intervalMilliseconds - Interval of the timer.
 */
export function createLatenessEstimate(intervalMilliseconds: number): LatenessEstimate {
	let lateness = 0;
	let observedAt: number | undefined;
	return {
		observe(now) {
			const late = observedAt === undefined ? 0 : Math.max(0, now - observedAt - intervalMilliseconds);
			lateness += (Math.min(late, intervalMilliseconds * maximumLatenessFactor) - lateness) * smoothingFactor;
			observedAt = now;
		},
		getMilliseconds: () => lateness,
		shouldRefuse(targetMilliseconds, draw) {
			const targetShare = lateness * waitsPerRequest / targetMilliseconds;
			const refusedShare = (targetShare - acceptableTargetShare) / (hopelessTargetShare - acceptableTargetShare);
			return draw < Math.min(maximumRefusedShare, refusedShare);
		},
	};
}
