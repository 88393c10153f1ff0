/** Manners in which an upstream responds, and how often upstreams of each temper choose them. */
import {type Random} from '../source/randomness/index.js';

/** Manner of one response. */
export type Manner
	= | 'plain'
		| 'chunked'
		/** Without a length, ended by the close of the connection. */
		| 'until-close'
		| 'slow'
		/** With `Connection: close`. */
		| 'last'
		/** Runs the request and fails with status 500. */
		| 'fail'
		/** Refuses the request without running it. */
		| 'shed'
		/** Sends the response again, later, whole or in pieces, before any other response on the connection. */
		| 'stutter'
		| 'fail-stutter'
		| 'shed-stutter'
		/** Sends the response again in pieces, between which the next response may be written. */
		| 'cut-in'
		/** Sends a response that has neither an id nor a signature, before or after its own. */
		| 'foreign-first'
		| 'foreign-last'
		/** Resets the connection in the middle of the body. */
		| 'break-off'
		| 'break-off-chunked'
		| 'break-off-until-close'
		/** Resets the connection without running the request. */
		| 'reset'
		/** Runs the request and resets the connection instead of responding. */
		| 'lose';

/** Weights of the manners of an upstream; the rest of its responses is plain. */
export type Temper = Partial<Readonly<Record<Manner, number>>>;

/** Tempers by name. */
export const tempers = {
	steady: {chunked: 0.1, slow: 0.01, shed: 0.01},
	stuttering: {
		chunked: 0.05, stutter: 0.2, 'fail-stutter': 0.02, 'shed-stutter': 0.04, 'until-close': 0.01, last: 0.01,
	},
	faulty: {
		chunked: 0.05, 'until-close': 0.05, slow: 0.02, last: 0.03, fail: 0.02, shed: 0.04, 'break-off': 0.02, 'break-off-chunked': 0.02, 'break-off-until-close': 0.02, reset: 0.02, lose: 0.02,
	},
	interrupting: {
		stutter: 0.05, 'cut-in': 0.15, 'shed-stutter': 0.02, 'foreign-first': 0.08, 'foreign-last': 0.05,
	},
} as const satisfies Readonly<Record<string, Temper>>;

/**
 * Chooses the manner of the next response.
 * @param temper - Weights of the manners.
 * @param random - Source of random numbers.
 */
export function chooseManner(temper: Temper, random: Random): Manner {
	let rest = random();
	for (const [manner, weight] of Object.entries(temper) as Array<[Manner, number]>) {
		rest -= weight;
		if (rest < 0) {
			return manner;
		}
	}

	return 'plain';
}
