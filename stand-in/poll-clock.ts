/**
 * Tells since when an event may have waited for this process. A process that gets no processor time handles what arrived meanwhile
 * late, so the time at which it handles an event is only the latest time of its arrival.
 */

const intervalMilliseconds = 10;

/** Time between two polls beyond which the process is late. */
const maximumTurnMilliseconds = 20;

/** Clock of the turns of the event loop. */
export type PollClock = {
	/** Gets the earliest time at which an event that is handled now may have arrived, in wall-clock milliseconds; now if the process is not late. */
	getEarliestArrival(now: number): number;
	stop(): void;
};

/** Starts a clock. */
export function startPollClock(): PollClock {
	let polledAt = Date.now();
	const timer = setInterval(() => {
		// Runs when the events that were waiting at the tick have been handled.
		setImmediate(() => {
			polledAt = Date.now();
		});
	}, intervalMilliseconds);
	timer.unref();

	return {
		getEarliestArrival(now) {
			return now - polledAt > maximumTurnMilliseconds ? polledAt : now;
		},
		stop() {
			clearInterval(timer);
		},
	};
}
