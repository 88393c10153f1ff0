/**
 * Models a server in virtual time. It has slots and a bounded queue, slows down when the running
 * requests exceed the knee of its slots, and shares its host with other processes that slow it down
 * for short periods. All running requests progress at the same speed.
 */
import {type LoadReading} from '../../source/choice/index.js';
import {type Random} from '../../source/randomness/index.js';

/** Share of the slots beyond which requests take longer. */
const kneeShare = 0.8;

/** Factor by which requests take longer beyond the knee. */
const kneeSlowdown = 1.7;

/** Share of the time for which other processes slow a host down. */
const slowHostShare = 0.25;

/** Factor by which requests take longer on a slow host. */
const hostSlowdown = 5;

/** Mean time after which a host may change between normal and slow, in milliseconds. */
const slownessPeriodMilliseconds = 150;

/** Request that waits or runs at a modelled server. */
export type ModelRequest = {
	/** Remaining service time, in milliseconds on a server without load on a normal host. */
	remainingMilliseconds: number;
	/** Factor by which the request takes longer, if the host determines it when the request starts to run. */
	slownessAtStart?: number | undefined;
	/** Called when the request has completed. */
	onComplete(now: number): void;
};

/** A modelled server. */
export type ServerModel = {
	/** Gets the load that the server reports. */
	getReading(): LoadReading;
	/** Adds a request, or returns false if the slots and the queue are full. */
	tryAdd(request: ModelRequest): boolean;
	/** Advances the time by one step. */
	advance(now: number, stepMilliseconds: number): void;
};

/**
 * Creates a modelled server without requests.
 * @param slots - Maximum number of requests that run at once.
 * @param queueLength - Maximum number of requests that wait for a slot.
 * @param random - Source of random numbers.
 * @param isSlownessFixedAtStart - Whether a request keeps the slowness that its host has when it starts to run; by default it follows the host.
 */
export function createServerModel(slots: number, queueLength: number, random: Random, isSlownessFixedAtStart = false): ServerModel {
	let running: ModelRequest[] = [];
	const waiting: ModelRequest[] = [];
	let slowness = 1;
	let slownessChangesAt = 0;

	function startWaitingRequests(): void {
		while (running.length < slots && waiting.length > 0) {
			const request = waiting.shift()!;
			request.slownessAtStart = isSlownessFixedAtStart ? slowness : undefined;
			running.push(request);
		}
	}

	return {
		getReading: () => ({
			running: running.length, waiting: waiting.length, slots, slowness,
		}),
		tryAdd(request) {
			if (waiting.length >= queueLength) {
				return false;
			}

			waiting.push(request);
			startWaitingRequests();
			return true;
		},
		advance(now, stepMilliseconds) {
			if (now >= slownessChangesAt) {
				slowness = random() < slowHostShare ? hostSlowdown : 1;
				slownessChangesAt = now + (slownessPeriodMilliseconds * (0.5 + random()));
			}

			const isBeyondKnee = running.length > slots * kneeShare;
			for (const request of running) {
				request.remainingMilliseconds -= stepMilliseconds / ((request.slownessAtStart ?? slowness) * (isBeyondKnee ? kneeSlowdown : 1));
			}

			const completed = running.filter(request => request.remainingMilliseconds <= 0);
			running = running.filter(request => request.remainingMilliseconds > 0);
			startWaitingRequests();
			for (const request of completed) {
				request.onComplete(now);
			}
		},
	};
}
