/**
 * Accounts for the bytes that were written towards the callers and that the link has not carried yet, and for the rate of small
 * responses, which the link carries first. The kernel does not tell what it has sent, so the account follows the rate of the link.
 */

const bitsPerMegabit = 1_000_000;
const bitsPerByte = 8;
const millisecondsPerSecond = 1000;

/**
 * Share of the link that responses may use. Headers of TCP and IP take 3 to 5% of it; the rest is for what is not counted: heads of
 * responses, requests to servers, load queries and renewals.
 */
const usableShare = 0.9;

/** Minimum share of the usable rate that large responses are assumed to get, however many small ones there are. */
const minimumLargeShare = 0.1;

/** Time constant of the measured rate of small responses, in milliseconds: longer than a burst of a few, shorter than a change of the load. */
const rateMilliseconds = 1000;

/** Load of a link. */
export type LinkLoad = {
	/** Counts bytes of a small response, which is written at once. */
	recordSmall(bytes: number, now: number): void;
	/** Counts bytes of a large response. */
	recordLarge(bytes: number, now: number): void;
	/** Gets the number of written bytes that the link has not carried yet. */
	getQueuedBytes(now: number): number;
	/** Gets the rate at which the link carries responses, in bytes per millisecond. */
	getRate(): number;
	/** Gets the part of the rate that small responses leave to large ones, in bytes per millisecond. */
	getLargeRate(now: number): number;
};

/**
 * Creates the load of an idle link.
 * @param megabitsPerSecond - Rate of the link.
 */
export function createLinkLoad(megabitsPerSecond: number): LinkLoad {
	const rate = megabitsPerSecond * bitsPerMegabit / bitsPerByte / millisecondsPerSecond * usableShare;
	let queuedBytes = 0;
	let queuedAt = 0;
	let smallRate = 0;
	let smallAt = 0;

	function advance(now: number): void {
		queuedBytes = Math.max(0, queuedBytes - ((now - queuedAt) * rate));
		queuedAt = now;
	}

	function getSmallRate(now: number): number {
		return smallRate * Math.exp((smallAt - now) / rateMilliseconds);
	}

	return {
		recordSmall(bytes, now) {
			advance(now);
			queuedBytes += bytes;
			smallRate = getSmallRate(now) + (bytes / rateMilliseconds);
			smallAt = now;
		},
		recordLarge(bytes, now) {
			advance(now);
			queuedBytes += bytes;
		},
		getQueuedBytes(now) {
			advance(now);
			return queuedBytes;
		},
		getRate: () => rate,
		getLargeRate: now => Math.max(rate * minimumLargeShare, rate - getSmallRate(now)),
	};
}
