/**
 * Tells a crash from a lost answer. Load pattern: servers lose the answers of requests that
 * they ran, by a reset, while callers send the same path again and again; were each reset
 * taken for a crash, the path would soon be refused everywhere. A server that crashed is
 * away for seconds, so one that answers a question shortly after has not.
 */
import {type Candidate, type LoadReading} from '../choice/index.js';
import {type LoadQuery} from './load-querier.js';

/** Time after a lost connection at which the server is asked whether it lives, in milliseconds. */
const pauseMilliseconds = 100;

/** Time for its answer in milliseconds: longer than a busy server takes, shorter than a crashed one is away. */
const waitMilliseconds = 350;

/** Checks for crashes. */
export type CrashCheck = {
	/** Reports a crash later, unless the server answers by then. */
	check(fingerprint: string, candidate: Candidate): void;
};

/** Options of a check. */
export type CrashCheckOptions = {
	ask(question: LoadQuery): () => void;
	/** Takes a request whose server is gone. */
	reportCrash(fingerprint: string, server: number): void;
	/** Runs a function after a time in milliseconds. */
	schedule(run: () => void, milliseconds: number): void;
};

/**
 * Creates a check.
 * @param options - Questions to servers, and the function that takes crashes.
 */
export function createCrashCheck(options: CrashCheckOptions): CrashCheck {
	return {
		check(fingerprint, candidate) {
			options.schedule(() => {
				options.ask({
					candidates: [candidate],
					waitMilliseconds,
					isSufficient: (_candidate: Candidate, _reading: LoadReading) => true,
					onReadings(readings) {
						if (readings.length === 0) {
							options.reportCrash(fingerprint, candidate.id);
						}
					},
				});
			}, pauseMilliseconds);
		},
	};
}
