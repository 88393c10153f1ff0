/** Checks what ran of a quota in any window. */
import {type Quota, type QuotaTolerance} from '../../source/quota/index.js';

const millisecondsPerSecond = 1000;

/**
 * Gets the most that ran in any window, as a share of what may run in it.
 * @param times - Times at which requests ran.
 * @param tolerance - Window, and by how much more may run in it than the quota says.
 * @param getQuota - Gets the quota of a window by its begin.
 */
export function getLargestShare(times: readonly number[], {windowSeconds, overshoot, slack}: QuotaTolerance, getQuota: (from: number) => Quota): number {
	const windowMilliseconds = windowSeconds * millisecondsPerSecond;
	let first = 0;
	let largest = 0;
	for (const [index, at] of times.entries()) {
		while (times[first]! <= at - windowMilliseconds) {
			first++;
		}

		const {requestsPerSecond, burst} = getQuota(times[first]!);
		const bound = (((requestsPerSecond * windowSeconds) + burst) * (1 + overshoot)) + slack;
		largest = Math.max(largest, (index - first + 1) / bound);
	}

	return largest;
}
