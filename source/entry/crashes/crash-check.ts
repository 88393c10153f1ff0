/**
 * Distinguishes a crashed server from a lost response. When servers reset the connections of requests that
 * they ran, and callers keep requesting the same path, counting each reset as a crash would soon quarantine
 * the path everywhere. A crashed server is unreachable for seconds, so one that answers a load query shortly
 * after the reset has not crashed.
 */
import {type Candidate, type LoadReading} from '../../choice/index.js';
import {type LoadQuery} from '../servers/index.js';

/** Time between a lost connection and the query that checks whether the server still runs, in milliseconds. */
const checkDelayMilliseconds = 100;

/** Timeout of the query in milliseconds: longer than a busy server takes to answer, shorter than a crashed one is unreachable. */
const responseTimeoutMilliseconds = 350;

/** Checks for crashes. */
export type CrashCheck = {
	/** Reports a crash after the delay and the timeout, unless the server answers the query. */
	check(fingerprint: string, candidate: Candidate): void;
};

/** Options of `createCrashCheck`. */
export type CrashCheckOptions = {
	query(query: LoadQuery): () => void;
	/** Reports that a server crashed while it ran a request. */
	reportCrash(fingerprint: string, server: number): void;
	/** Runs a function after a time in milliseconds. */
	schedule(run: () => void, milliseconds: number): void;
};

/**
 * Creates a check.
 * @param options - Functions that query servers, report crashes and schedule the check.
 */
export function createCrashCheck(options: CrashCheckOptions): CrashCheck {
	return {
		check(fingerprint, candidate) {
			options.schedule(() => {
				options.query({
					candidates: [candidate],
					waitMilliseconds: responseTimeoutMilliseconds,
					isSufficient: (_candidate: Candidate, _reading: LoadReading) => true,
					onReadings(readings) {
						if (readings.length === 0) {
							options.reportCrash(fingerprint, candidate.id);
						}
					},
				});
			}, checkDelayMilliseconds);
		},
	};
}
