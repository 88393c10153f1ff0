/** Independent streams of random numbers of one seed. */
import {createHash} from 'node:crypto';
import {createRandom, type Random} from '../source/randomness/index.js';

/**
 * Creates a stream. The streams of neighbouring seeds are unlike from their first number on.
 * @param seed - Seed of the run.
 * @param name - Name of the stream.
 */
export function createStream(seed: number, name: string): Random {
	return createRandom(createHash('sha256').update(`${seed} ${name}`).digest().readInt32BE(0));
}
