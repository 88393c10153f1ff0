/** Counts what happened within a recent time, in steps, so that memory does not grow with what is counted. Never counts less than happened in it. */

/** Number of steps of the counted time. */
const stepCount = 50;

/** Count of a recent time. */
export type RecentCount = {
	add(now: number, amount: number): void;
	get(now: number): number;
	clear(): void;
};

type Step = {readonly from: number; until: number; amount: number};

/**
 * Creates a count of nothing.
 * @param milliseconds - Time for which an amount counts.
 */
export function createRecentCount(milliseconds: number): RecentCount {
	const stepMilliseconds = milliseconds / stepCount;
	let steps: Step[] = [];
	let sum = 0;

	function removePast(now: number): void {
		const first = steps[0];
		if (first !== undefined && first.until + milliseconds < now) {
			steps = steps.filter(({until}) => until + milliseconds >= now);
			sum = steps.reduce((total, {amount}) => total + amount, 0);
		}
	}

	return {
		add(now, amount) {
			const last = steps.at(-1);
			if (last !== undefined && now < last.from + stepMilliseconds) {
				last.until = now;
				last.amount += amount;
			} else {
				steps.push({from: now, until: now, amount});
			}

			sum += amount;
		},
		get(now) {
			removePast(now);
			return sum;
		},
		clear() {
			steps = [];
			sum = 0;
		},
	};
}
