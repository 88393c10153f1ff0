/** The load that the servers of a service stated last, and the share of them that is congested. */
import {isUncongested, type Candidate, type LoadReading} from '../../choice/index.js';

/** Weight of the newest statement in the moving average, which covers about the last fifty statements. */
const smoothingFactor = 0.02;

/** Stated loads of the servers of one service. */
export type StatedLoads = {
	record(candidate: Candidate, reading: LoadReading): void;
	/** Gets the load that a server stated last, or undefined if it stated none. */
	get(candidate: Candidate): LoadReading | undefined;
	/** Gets the share of recent statements by which the server would not work at its usual speed on one more request. */
	getCongestedShare(): number;
};

/** Creates the loads of a service whose servers have stated none. */
export function createStatedLoads(): StatedLoads {
	const readings = new WeakMap<Candidate, LoadReading>();
	let congestedShare = 0;
	return {
		record(candidate, reading) {
			// Servers of some dialects state their load without their slots, which says nothing about congestion.
			if (reading.slots === 0) {
				return;
			}

			readings.set(candidate, reading);
			congestedShare += ((isUncongested(reading) ? 0 : 1) - congestedShare) * smoothingFactor;
		},
		get: candidate => readings.get(candidate),
		getCongestedShare: () => congestedShare,
	};
}
