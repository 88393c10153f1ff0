/**
 * Measures how much of a slack the extra attempts for one service use: what they exceed the ratio of the requests by, in the window that
 * counts and in each shorter one that ends now. Requests repay the newest attempts first, so that each of these windows is paid by its own requests.
 */

/** Time for which an extra attempt uses the slack, in milliseconds: the ten seconds that count, and one for attempts that arrive late. */
export const slackWindowMilliseconds = 11_000;

/** Time whose attempts are counted together, in milliseconds; bounds the memory. */
const binMilliseconds = 100;

/** Meter of the slack that one service uses at one entry. */
export type SlackMeter = {
	/** Records an extra attempt. */
	charge(now: number): void;
	/** Records that an extra attempt was refused for lack of slack. */
	refuse(now: number): void;
	/** Records the share of an extra attempt that a request allows for. */
	repay(share: number): void;
	/** Gets the slack in use. */
	getUsed(now: number): number;
	/** Gets the most slack that was in use at any time of the window. */
	getPeak(now: number): number;
	/** Gets the number of refused attempts in the window. */
	getRefused(now: number): number;
};

type Bin = {readonly startedAt: number; charged: number; peak: number; refused: number};

/**
 * Creates a meter of attempts that use the slack for a time.
 * @param windowMilliseconds - Time for which an extra attempt uses the slack.
 */
export function createSlackMeter(windowMilliseconds = slackWindowMilliseconds): SlackMeter {
	/** Bins of the window, the newest last. */
	const bins: Bin[] = [];

	function removeEnded(now: number): void {
		while (bins.length > 0 && bins[0]!.startedAt + binMilliseconds + windowMilliseconds <= now) {
			bins.shift();
		}
	}

	function getBin(now: number): Bin {
		removeEnded(now);
		const newest = bins.at(-1);
		if (newest !== undefined && now < newest.startedAt + binMilliseconds) {
			return newest;
		}

		const bin = {
			startedAt: now, charged: 0, peak: 0, refused: 0,
		};
		bins.push(bin);
		return bin;
	}

	function getUsed(now: number): number {
		removeEnded(now);
		return bins.reduce((sum, {charged}) => sum + charged, 0);
	}

	return {
		charge(now) {
			const bin = getBin(now);
			bin.charged++;
			bin.peak = Math.max(bin.peak, getUsed(now));
		},
		refuse(now) {
			getBin(now).refused++;
		},
		repay(share) {
			let rest = share;
			for (let index = bins.length - 1; index >= 0 && rest > 0; index--) {
				const bin = bins[index]!;
				const paid = Math.min(rest, bin.charged);
				bin.charged -= paid;
				rest -= paid;
			}
		},
		getUsed,
		getPeak(now) {
			removeEnded(now);
			return Math.max(0, ...bins.map(({peak}) => peak));
		},
		getRefused(now) {
			removeEnded(now);
			return bins.reduce((sum, {refused}) => sum + refused, 0);
		},
	};
}
