/** Noisy neighbours: slows servers at random for short times. */
import {type Random} from '../source/randomness/index.js';
import {type StandIn} from './server.js';

/** Times in units of the mean service time: 20 to 500 ms for servers of 20 ms. */
const meanQuiet = 75;
const shortest = 1;
const longest = 25;

/** Noise over some servers. */
export type Noise = {stop(): void};

/**
 * Starts to slow servers at random, each on its own.
 * @param servers - Servers to slow.
 * @param factor - Factor on service times while a server is slowed.
 * @param random - Source of random numbers.
 */
export function startNoise(servers: readonly StandIn[], factor: number, random: Random): Noise {
	const timers = new Map<string, NodeJS.Timeout>();

	function plan(server: StandIn): void {
		const quiet = -Math.log(1 - random()) * meanQuiet * server.getBehaviour().serviceMilliseconds;
		timers.set(server.name, setTimeout(() => {
			server.updateBehaviour({slowness: factor});
			const slowed = (shortest + (random() * (longest - shortest))) * server.getBehaviour().serviceMilliseconds;
			timers.set(server.name, setTimeout(() => {
				server.updateBehaviour({slowness: 1});
				plan(server);
			}, slowed));
		}, quiet));
	}

	for (const server of servers) {
		plan(server);
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
