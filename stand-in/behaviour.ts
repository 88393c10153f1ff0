/** How a stand-in server behaves; every field can be changed while it runs. */

/** Distribution of service times. */
export type Distribution = 'constant' | 'exponential' | 'pareto';

/** Behaviour of a stand-in server. */
export type Behaviour = {
	readonly slots: number;
	/** Mean service time in milliseconds. */
	readonly serviceMilliseconds: number;
	readonly distribution: Distribution;
	/** Factor on service times. */
	readonly slowness: number;
	/** Share of requests that are answered 500 at once. */
	readonly failFastShare: number;
	/** Requests that wait for a slot before further ones are shed. */
	readonly queueLength: number;
	/** Whether a shed answer carries the agreed header. */
	readonly declaresSheds: boolean;
	/** Slots that the server can carry while it is cold. */
	readonly coldSlots: number;
	/** Requests after which the cold server can carry one slot more. */
	readonly requestsPerColdSlot: number;
	readonly isCold: boolean;
	readonly isLeaving: boolean;
	/** Load that the server reports, or undefined for the truth. */
	readonly reportedLoad: number | undefined;
	readonly isHealthy: boolean;
	/** Whether a request with the crash marker ends the server. */
	readonly crashesOnMarker: boolean;
	/** Share of answers that are cut short. */
	readonly truncatedShare: number;
	/** Share of answers that are followed by bytes that nobody asked for. */
	readonly trailingShare: number;
	/** Share of requests whose connection is reset before the answer. */
	readonly resetShare: number;
	readonly answerBytes: number;
};

/** Behaviour of an ordinary warm server. */
export const ordinaryBehaviour: Behaviour = {
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
 * Draws a service time in milliseconds.
 * @param behaviour - Behaviour of the server.
 * @param random - Returns a number from 0 up to 1.
 */
export function drawServiceTime(behaviour: Behaviour, random: () => number): number {
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
