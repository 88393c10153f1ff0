/** Creates the ids of requests: a random part for the entry, and a number. */
import {randomBytes} from 'node:crypto';

const prefixBytes = 6;

/** Creates a function that returns a new id at each call. */
export function createRequestIds(): () => string {
	const prefix = randomBytes(prefixBytes).toString('hex');
	let nextId = 1;
	return () => `${prefix}-${(nextId++).toString(36)}`;
}
