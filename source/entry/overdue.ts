/**
 * Watches an attempt that takes longer than nearly all others did: a first-hand sign
 * that its server is slow right now, which the other entries can't see.
 */
import {type Candidate} from '../choice/index.js';

/** Watch over one attempt. */
export type Overdue = {
	/** Ends with the attempt. */
	end(): void;
};

/**
 * Starts to watch an attempt.
 * @param candidate - Server of the attempt.
 * @param milliseconds - Time after which the attempt is overdue.
 * @param changed - Called when an attempt becomes overdue, and when an overdue one ends.
 */
export function watchOverdue(candidate: Candidate, milliseconds: number, changed: () => void): Overdue {
	let isOverdue = false;
	const timer = setTimeout(() => {
		isOverdue = true;
		candidate.changeOverdue(1);
		changed();
	}, milliseconds);

	return {
		end() {
			clearTimeout(timer);
			if (isOverdue) {
				isOverdue = false;
				candidate.changeOverdue(-1);
				changed();
			}
		},
	};
}
