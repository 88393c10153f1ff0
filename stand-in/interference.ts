/** Simulates interference by other processes (noisy neighbours): slows servers down for short random periods. */
import {type Random} from '../source/randomness/index.js';
import {type StandIn} from './server.js';

/** Durations as multiples of the mean service time. A slowdown lasts 20 to 500 ms with a mean service time of 20 ms. */
const meanPauseInServiceTimes = 75;
const minimumSlowdownInServiceTimes = 1;
const maximumSlowdownInServiceTimes = 25;

/** Running interference; `stop` restores the service times. */
export type Interference = {stop(): void};

/**
 * Starts to slow servers down at random, each independently of the others.
 * @param servers - Servers to slow down.
 * @param factor - Factor by which service times are multiplied during a slowdown.
 * @param random - Source of random numbers.
 */
export function startInterference(servers: readonly StandIn[], factor: number, random: Random): Interference {
	const timers = new Map<string, NodeJS.Timeout>();

	function scheduleSlowdown(server: StandIn): void {
		const pauseMilliseconds = -Math.log(1 - random()) * meanPauseInServiceTimes * server.getBehaviour().serviceMilliseconds;
		timers.set(server.name, setTimeout(() => {
			server.updateBehaviour({slowness: factor});
			const slowdownMilliseconds = (minimumSlowdownInServiceTimes + (random() * (maximumSlowdownInServiceTimes - minimumSlowdownInServiceTimes))) * server.getBehaviour().serviceMilliseconds;
			timers.set(server.name, setTimeout(() => {
				server.updateBehaviour({slowness: 1});
				scheduleSlowdown(server);
			}, slowdownMilliseconds));
		}, pauseMilliseconds));
	}

	for (const server of servers) {
		scheduleSlowdown(server);
	}

	return {
		stop() {
			for (const server of servers) {
				clearTimeout(timers.get(server.name));
				server.updateBehaviour({slowness: 1});
			}
		},
	};
}
