/**
 * A token bucket of which only that part may be lent that accrued while the leadership is known to have lasted. A leader that was replaced
 * without noticing it so lends nothing that its successor lends too.
 */

/** Time in milliseconds for which accrued tokens are confirmed together. */
const stepMilliseconds = 20;

/** Bucket of one leader. */
export type ConfirmedBucket = {
	/** Lets tokens accrue until now. Those that accrued until `confirmedAt` may be lent. */
	advance(now: number, confirmedAt: number): void;
	/** Gets the tokens that may be lent, which are negative while a debt is left. */
	getUsable(): number;
	/** Gets all tokens, also those that are not confirmed. */
	getLevel(): number;
	take(tokens: number): void;
	/** Puts back tokens that were lent and not used. */
	putBack(tokens: number): void;
	configure(perMillisecond: number, capacity: number): void;
};

/** Options of `createConfirmedBucket`. */
export type ConfirmedBucketOptions = {
	readonly perMillisecond: number;
	readonly capacity: number;
	readonly startedAt: number;
	/** Tokens at the start; negative for a debt. */
	readonly level: number;
};

/** Tokens that accrued until a time and are not confirmed yet. */
type Step = {readonly from: number; until: number; tokens: number};

/**
 * Creates a bucket.
 * @param options - Rate, capacity and tokens at the start.
 */
export function createConfirmedBucket(options: ConfirmedBucketOptions): ConfirmedBucket {
	let {perMillisecond, capacity, level} = options;
	let accruedAt = options.startedAt;
	let unconfirmed = 0;
	let steps: Step[] = [];

	function accrue(until: number): number {
		const tokens = Math.max(0, Math.min((until - accruedAt) * perMillisecond, capacity - level));
		level += tokens;
		accruedAt = until;
		return tokens;
	}

	function recordUnconfirmed(from: number, until: number, tokens: number): void {
		unconfirmed += tokens;
		const last = steps.at(-1);
		if (last !== undefined && from < last.from + stepMilliseconds) {
			last.until = until;
			last.tokens += tokens;
		} else {
			steps.push({from, until, tokens});
		}
	}

	function confirm(confirmedAt: number): void {
		const confirmedCount = steps.findIndex(({until}) => until > confirmedAt);
		const confirmed = confirmedCount === -1 ? steps : steps.slice(0, confirmedCount);
		if (confirmed.length > 0) {
			steps = steps.slice(confirmed.length);
			unconfirmed = steps.reduce((sum, {tokens}) => sum + tokens, 0);
		}
	}

	return {
		advance(now, confirmedAt) {
			confirm(confirmedAt);
			if (confirmedAt > accruedAt) {
				accrue(confirmedAt);
			}

			if (now > accruedAt) {
				const from = accruedAt;
				recordUnconfirmed(from, now, accrue(now));
			}
		},
		getUsable: () => level - unconfirmed,
		getLevel: () => level,
		take(tokens) {
			level -= tokens;
		},
		putBack(tokens) {
			level = Math.min(level + tokens, Math.max(level, capacity));
		},
		configure(nextPerMillisecond, nextCapacity) {
			perMillisecond = nextPerMillisecond;
			capacity = nextCapacity;
			level = Math.min(level, capacity);
		},
	};
}
