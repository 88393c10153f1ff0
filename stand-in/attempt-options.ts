/** Options of attempts in tests: a plain lookup that may take a second, and responses of up to 1,000 bytes in memory. */
import {performance} from 'node:perf_hooks';
import {createByteBudget} from '../source/bytes/index.js';
import {type AttemptOptions} from '../source/entry/servers/attempt-options.js';
import {defaultDialect} from '../source/entry/index.js';

const deadlineMilliseconds = 1000;
const maximumBytes = 1000;
const budgetBytes = 1_000_000;

/**
 * Creates options of an attempt.
 * @param options - Options that are not those of a plain lookup.
 */
export function createAttemptOptions(options: Pick<AttemptOptions, 'pool' | 'onEnd'> & Partial<AttemptOptions>): AttemptOptions {
	return {
		dialect: defaultDialect,
		requestId: 'one',
		method: 'GET',
		target: '/',
		headers: ['host', 'any'],
		body: undefined,
		stream: undefined,
		deadlineAt: performance.now() + deadlineMilliseconds,
		maximumBufferedBytes: maximumBytes,
		bufferedResponses: createByteBudget(budgetBytes),
		maximumBodyBytes: maximumBytes,
		mayDispatch: () => true,
		hasServerWithdrawn: () => false,
		onReport() {
			// Reports of servers are ignored.
		},
		onError(error) {
			throw error;
		},
		...options,
	};
}
