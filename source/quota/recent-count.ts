/** Counts what happened within a recent time, in steps, so that memory does not grow with what is counted. Never counts less than happened in it. */

/** Number of steps of the counted time. */
const stepCount = 50;

/** Count of a recent time. */
export type RecentCount = {
	/** Counts an amount at a time, which may be past. */
	add(at: number, amount: number): void;
	get(now: number): number;
	clear(): void;
};

/**
 * Creates a count of nothing.
 * @param milliseconds - Time for which an amount counts.
 */
export function createRecentCount(milliseconds: number): RecentCount {
	const stepMilliseconds = milliseconds / stepCount;
	const amounts = new Map<number, number>();
	let sum = 0;
	let removedStep = Number.NEGATIVE_INFINITY;

	/** Removes the steps that ended before the counted time. */
	function removePast(now: number): void {
		const lastPastStep = Math.ceil(now / stepMilliseconds) - stepCount - 1;
		if (lastPastStep === removedStep) {
			return;
		}

		removedStep = lastPastStep;
		sum = 0;
		for (const [step, amount] of amounts) {
			if (step <= lastPastStep) {
				amounts.delete(step);
			} else {
				sum += amount;
			}
		}
	}

	return {
		add(at, amount) {
			const step = Math.ceil(at / stepMilliseconds);
			if (amount > 0 && step > removedStep) {
				amounts.set(step, (amounts.get(step) ?? 0) + amount);
				sum += amount;
			}
		},
		get(now) {
			removePast(now);
			return sum;
		},
		clear() {
			amounts.clear();
			sum = 0;
		},
	};
}
