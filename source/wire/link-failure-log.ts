/** Logs and counts the links that were ended because of an unexpected error. */
import {createLineLimit, type Log} from '../telemetry/index.js';
import {type LinkFailure} from './message-boundary.js';

const maximumLinesPerSecond = 1;

/** Options of `createLinkFailureLog`. */
export type LinkFailureLogOptions = {
	readonly log: Log;
	/** Counts each failure, also those beyond the limit of lines. */
	count(): void;
	/** Gets the current time in milliseconds. */
	getTime(): number;
};

/**
 * Creates a recorder of failures, which writes at most one line a second.
 * @param options - Log, counter and clock.
 */
export function createLinkFailureLog({log, count, getTime}: LinkFailureLogOptions): (failure: LinkFailure) => void {
	const limit = createLineLimit(maximumLinesPerSecond, getTime);

	return ({peer, error}) => {
		count();
		if (limit.take()) {
			log.error({peer, err: error, ...limit.takeLeftOut()}, 'internal error while handling a message of a peer; only its link ends');
		}
	};
}
