/** What a process has spent lately, in steps, so that it can state it to a new leader. */
import {spendingStepMilliseconds} from './holder-report.js';

/** Number of steps that are stated. A window that is longer is not covered in full, and a new leader lends less in it. */
const stepCount = 20;

/** Spending of one workspace. */
export type SpendingHistory = {
	record(now: number): void;
	/** Gets the tokens spent in each of the last steps before now, the newest first, without the steps before the first spent one. */
	get(now: number): readonly number[];
};

/** Creates a history without spending. */
export function createSpendingHistory(): SpendingHistory {
	let times: number[] = [];

	function removePast(now: number): void {
		times = times.filter(time => time > now - (stepCount * spendingStepMilliseconds));
	}

	return {
		record(now) {
			// Two in three calls only append, so that a busy workspace is not copied for each request.
			if (times.length > 0 && times[0]! <= now - (2 * stepCount * spendingStepMilliseconds)) {
				removePast(now);
			}

			times.push(now);
		},
		get(now) {
			removePast(now);
			const steps: number[] = [];
			for (const time of times) {
				const step = Math.floor((now - time) / spendingStepMilliseconds);
				steps[step] = (steps[step] ?? 0) + 1;
			}

			return Array.from(steps, count => count ?? 0);
		},
	};
}
