/**
 * Estimates the latency after which a request is hedged: a high quantile of recent
 * latencies, followed by steps up and down in proportion to the quantile (stochastic
 * approximation after Robbins and Monro, 1951).
 */

const stepShare = 0.02;
const smallestEstimateMilliseconds = 1;

/** Shortest delay of a hedge where the document names none, in milliseconds. */
export const defaultHedgeDelayMilliseconds = 10;

/** Delay after which a request is hedged. */
export type HedgeDelay = {
	record(milliseconds: number): void;
	/** Gets the estimate, or the shortest delay where that is longer. */
	getMilliseconds(): number;
};

/**
 * Creates an estimate.
 * @param quantile - Share of requests that end before the delay.
 * @param initialMilliseconds - Delay before any request ended.
 * @param getShortest - Gets the shortest delay in milliseconds. Where answers take a
 * millisecond, what is late is the entry's own loop, which a second attempt only burdens.
 */
export function createHedgeDelay(quantile: number, initialMilliseconds: number, getShortest: () => number): HedgeDelay {
	let estimate = initialMilliseconds;
	return {
		record(milliseconds) {
			const step = estimate * stepShare;
			estimate += milliseconds > estimate ? step * quantile : -step * (1 - quantile);
			estimate = Math.max(smallestEstimateMilliseconds, estimate);
		},
		getMilliseconds: () => Math.max(getShortest(), estimate),
	};
}
