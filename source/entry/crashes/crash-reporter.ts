/** Reports crashes of servers during requests, at once or after a check when no control host may answer. */
import {type Log} from '../../telemetry/index.js';
import {type Fleet} from '../fleet/index.js';
import {type CrashTracker} from './crash-tracker.js';
import {createCrashCheck, type CrashCheckOptions} from './crash-check.js';

/** Options of `createCrashReporter`. */
export type CrashReporterOptions = {
	readonly fleet: Fleet;
	readonly crashTracker: CrashTracker;
	readonly log: Log;
	/** Whether the entry goes on to send requests after its lease has ended. */
	readonly isServingWithoutControl: boolean;
	/** Queries the load of servers. */
	readonly query: CrashCheckOptions['query'];
};

/** Reports a crash and resolves to whether the request is quarantined from now on. */
export type CrashReporter = (fingerprint: string, server: number) => Promise<boolean>;

/**
 * Creates a function that reports crashes.
 * @param options - Servers, crash tracker and load queries.
 */
export function createCrashReporter(options: CrashReporterOptions): CrashReporter {
	const {fleet, crashTracker, log, isServingWithoutControl, query} = options;
	const crashCheck = createCrashCheck({
		query,
		reportCrash(fingerprint, server) {
			log.warn({fingerprint, server}, 'server is unreachable after its connection was lost during a request; reporting a crash');
			void crashTracker.reportCrash(fingerprint, server);
		},
		schedule(run, milliseconds) {
			setTimeout(run, milliseconds);
		},
	});

	return async (fingerprint, server) => {
		const candidate = fleet.get(server)?.candidate;
		if (!isServingWithoutControl || candidate === undefined) {
			return crashTracker.reportCrash(fingerprint, server);
		}

		// An entry that serves without control hosts does not wait for them, and first checks that the server is unreachable.
		crashCheck.check(fingerprint, candidate);
		return crashTracker.isQuarantined(() => fingerprint);
	};
}
