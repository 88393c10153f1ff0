/**
 * A model of a server in virtual time: slots and a short queue, work that takes longer
 * beyond the knee of its slots, and a host that is slow for short times because others use
 * it, too. Requests that run share the server's speed evenly.
 */
import {type LoadReading} from '../../source/choice/index.js';
import {type Random} from '../../source/randomness/index.js';

/** Share of the slots beyond which work takes longer, and how much longer. */
const kneeShare = 0.8;
const kneeFactor = 1.7;

/** Share of the time for which a host is slow, how slow, and for how long at a time in milliseconds. */
const slowShare = 0.25;
const slowFactor = 5;
const slowMilliseconds = 150;

/** A request at a server. */
export type Work = {
	/** Work that is left, in milliseconds of a quiet server. */
	left: number;
	done(now: number): void;
};

/** A modelled server. */
export type ServerModel = {
	getReading(): LoadReading;
	/** Takes a request; returns false when slots and queue are full. */
	take(work: Work): boolean;
	/** Lets a step of time pass. */
	step(now: number, stepMilliseconds: number): void;
};

/**
 * Creates a server without requests.
 * @param slots - Requests that run at once.
 * @param queueLength - Requests that wait at most.
 * @param random - Source of random numbers.
 */
export function createServerModel(slots: number, queueLength: number, random: Random): ServerModel {
	let running: Work[] = [];
	const waiting: Work[] = [];
	let slowness = 1;
	let changesAt = 0;

	function fill(): void {
		while (running.length < slots && waiting.length > 0) {
			running.push(waiting.shift()!);
		}
	}

	return {
		getReading: () => ({
			running: running.length, waiting: waiting.length, slots, slowness,
		}),
		take(work) {
			if (waiting.length >= queueLength) {
				return false;
			}

			waiting.push(work);
			fill();
			return true;
		},
		step(now, stepMilliseconds) {
			if (now >= changesAt) {
				slowness = random() < slowShare ? slowFactor : 1;
				changesAt = now + (slowMilliseconds * (0.5 + random()));
			}

			const isBeyondKnee = running.length > slots * kneeShare;
			const progress = stepMilliseconds / (slowness * (isBeyondKnee ? kneeFactor : 1));
			for (const work of running) {
				work.left -= progress;
			}

			const done = running.filter(work => work.left <= 0);
			running = running.filter(work => work.left > 0);
			fill();
			for (const work of done) {
				work.done(now);
			}
		},
	};
}
