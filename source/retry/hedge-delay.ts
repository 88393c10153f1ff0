/**
 * Estimates the latency after which a request is hedged: a high quantile of recent latencies. A latency above the estimate
 * raises it by a step in proportion to the quantile; any other lowers it by a step in proportion to the remaining share
 * (stochastic approximation, Robbins and Monro, 1951).
 */

/** Size of a step as a share of the estimate, before it is scaled by the quantile. */
const stepRatio = 0.02;
const minimumEstimateMilliseconds = 1;

/** Minimum delay of a hedge in milliseconds, used if the environment document sets none. */
export const defaultHedgeDelayMilliseconds = 10;

/** Estimate of the delay after which a request is hedged. */
export type HedgeDelay = {
	record(milliseconds: number): void;
	/** Gets the estimate, or the minimum delay if that is longer. */
	getMilliseconds(): number;
};

/**
 * Creates an estimate of the hedge delay.
 * @param quantile - Share of requests that complete before the delay.
 * @param initialMilliseconds - Initial estimate.
 * @param getMinimumMilliseconds - Gets the minimum delay. Where responses take about a millisecond, longer latencies are caused by the
 * event loop of the entry, and a hedge would only add to its load.
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
