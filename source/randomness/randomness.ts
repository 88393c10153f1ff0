/** Seeded pseudorandom numbers for decisions, so that a run is reproducible. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns a number from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

/**
 * Creates a generator of pseudorandom numbers.
 * @param seed - Any integer.
 */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}
