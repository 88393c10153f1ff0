/** What counts of a renewal that arrives again, or after a later one of its process. */
import {type Renewal} from '../lease/index.js';

/** How a renewal arrived. */
export type RenewalArrival = {
	/** Whether a later renewal of the same process arrived before. */
	readonly isOvertaken: boolean;
	/** Whether the renewal is the one that arrived last. */
	readonly isRepeated: boolean;
};

/**
 * Removes from a renewal what may have been counted before. The sheds of one that was overtaken count: to count them twice costs less than
 * to miss them.
 * @param renewal - Renewal of an entry.
 * @param arrival - How it arrived.
 */
export function getCountedRenewal(renewal: Renewal, {isOvertaken, isRepeated}: RenewalArrival): Renewal {
	if (!isOvertaken && !isRepeated) {
		return renewal;
	}

	const observations = renewal.observations.map(observation => ({...observation, successes: 0, sheds: isRepeated ? 0 : observation.sheds}));
	return {...renewal, observations, failedProbes: []};
}
