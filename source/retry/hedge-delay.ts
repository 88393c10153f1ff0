/**
 * Estimates the latency after which a request is hedged: a high quantile of recent latencies,
 * tracked by steps up and down in proportion to the quantile (stochastic approximation,
 * Robbins and Monro, 1951).
 */

const stepRatio = 0.02;
const minimumEstimateMilliseconds = 1;

/** Default minimum delay of a hedge, in milliseconds, if the environment document sets none. */
export const defaultHedgeDelayMilliseconds = 10;

/** Estimate of the delay after which a request is hedged. */
export type HedgeDelay = {
	record(milliseconds: number): void;
	/** Gets the estimate, or the minimum delay if that is longer. */
	getMilliseconds(): number;
};

/**
 * Creates an estimate.
 * @param quantile - Share of requests that complete before the delay.
 * @param initialMilliseconds - Initial estimate.
 * @param getMinimumMilliseconds - Gets the minimum delay. If responses take a millisecond, longer latencies
 * are caused by the entry's own event loop, to which a second attempt only adds load.
 */
export function createHedgeDelay(quantile: number, initialMilliseconds: number, getMinimumMilliseconds: () => number): HedgeDelay {
	let estimate = initialMilliseconds;
	return {
		record(milliseconds) {
			const step = estimate * stepRatio;
			estimate += milliseconds > estimate ? step * quantile : -step * (1 - quantile);
			estimate = Math.max(minimumEstimateMilliseconds, estimate);
		},
		getMilliseconds: () => Math.max(getMinimumMilliseconds(), estimate),
	};
}
