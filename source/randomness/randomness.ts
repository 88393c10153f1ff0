/** Seeded random numbers for decisions, so that a run can be repeated. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns a number from 0 up to 1. */
export type Random = () => number;

/**
 * Creates a source of random numbers.
 * @param seed - Any integer.
 */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}
