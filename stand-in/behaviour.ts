/** Behaviour of a stand-in server; every field can be changed while the server is running. */

/** Distribution of service times. */
export type Distribution = 'constant' | 'exponential' | 'pareto';

/** Service times, limits, reported state and injected faults of a stand-in server. Shares are between 0 and 1. */
export type Behaviour = {
	/** Number of requests that a warm server processes concurrently. */
	readonly slots: number;
	/** Mean service time in milliseconds. */
	readonly serviceMilliseconds: number;
	readonly distribution: Distribution;
	/** Factor by which service times are multiplied. */
	readonly slowness: number;
	/** Share of requests that fail immediately with status 500. */
	readonly failFastShare: number;
	/** Maximum number of requests that wait for a slot of a warm server; further ones are shed. */
	readonly queueLength: number;
	/** Whether the response to a shed request declares in a header that it has not run. */
	readonly declaresSheds: boolean;
	/** Number of requests that a cold server can process concurrently at first. */
	readonly coldSlots: number;
	/** Number of completed requests after which the capacity of a cold server grows by one slot. */
	readonly requestsPerColdSlot: number;
	readonly isCold: boolean;
	/** Whether the server reports that it is leaving. */
	readonly isLeaving: boolean;
	/** Whether the server states that it leaves in its responses only, not in its announcements. */
	readonly statesLeaving: boolean;
	/** Pause that the server asks for while it refuses all requests; 0 if it serves them. */
	readonly pauseMilliseconds: number;
	/** Load that the server reports, or undefined to report its actual load. */
	readonly reportedLoad: number | undefined;
	/** Whether the server responds to health probes with status 200. */
	readonly isHealthy: boolean;
	/** Whether a request with the crash header makes the server crash. */
	readonly crashesOnMarker: boolean;
	/** Share of responses that are truncated. */
	readonly truncatedShare: number;
	/** Share of responses that are followed by an unsolicited second response. */
	readonly trailingShare: number;
	/** Share of requests whose connection is reset instead of sending a response. */
	readonly resetShare: number;
	/** Size of a response body, unless the request sets another one. */
	readonly answerBytes: number;
};

/** Behaviour of a warm server without injected faults. */
export const defaultBehaviour: Behaviour = {
	slots: 6,
	serviceMilliseconds: 20,
	distribution: 'exponential',
	slowness: 1,
	failFastShare: 0,
	queueLength: 100,
	declaresSheds: true,
	coldSlots: 1,
	requestsPerColdSlot: 10,
	isCold: false,
	isLeaving: false,
	statesLeaving: false,
	pauseMilliseconds: 0,
	reportedLoad: undefined,
	isHealthy: true,
	crashesOnMarker: true,
	truncatedShare: 0,
	trailingShare: 0,
	resetShare: 0,
	answerBytes: 256,
};

const paretoShape = 2.1;

/**
 * Samples a service time in milliseconds.
 * @param behaviour - Behaviour of the server.
 * @param random - Source of random numbers of at least 0 and less than 1.
 */
export function sampleServiceTime(behaviour: Behaviour, random: () => number): number {
	const {serviceMilliseconds: mean, distribution, slowness} = behaviour;
	switch (distribution) {
		case 'constant': {
			return mean * slowness;
		}

		case 'exponential': {
			return -Math.log(1 - random()) * mean * slowness;
		}

		case 'pareto': {
			const scale = mean * (paretoShape - 1) / paretoShape;
			return scale / ((1 - random()) ** (1 / paretoShape)) * slowness;
		}
	}
}
