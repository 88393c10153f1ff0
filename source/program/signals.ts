/** Handles signals and listen errors for entries and control hosts. */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {type Log} from '../telemetry/index.js';
import {ListenError} from '../wire/index.js';
import {exitCode, rejectInput} from './exit.js';

/** Time for the asynchronous log writer to flush its last lines before the process exits. */
const logFlushMilliseconds = 30;

/** Process that a signal stops. */
export type RunningProcess = {stop(): Promise<void>; getInFlight(): number};

/**
 * Converts a `ListenError` into a command error that names the settings file.
 * @param file - Path of the settings file.
 * @param startup - Pending start of the process.
 */
export async function reportListenError<Started>(file: string, startup: Promise<Started>): Promise<Started> {
	try {
		return await startup;
	} catch (error) {
		if (error instanceof ListenError) {
			rejectInput([`${file}: ${error.message}`]);
		}

		throw error;
	}
}

/**
 * Stops gracefully on the first SIGTERM or SIGINT; a second one ends the process immediately.
 * @param log - Log of the process.
 * @param runningProcess - Process to stop.
 */
export async function runUntilSignal(log: Log, runningProcess: RunningProcess): Promise<void> {
	await new Promise<void>(resolve => {
		let isStopping = false;
		function handleSignal(signal: NodeJS.Signals): void {
			if (isStopping) {
				log.warn({signal, cut: runningProcess.getInFlight()}, 'received a second signal; aborting the requests in flight');
				process.exit(exitCode.failure);
			}

			isStopping = true;
			log.info({signal}, 'stopping');
			void runningProcess.stop().then(resolve);
		}

		process.on('SIGTERM', handleSignal);
		process.on('SIGINT', handleSignal);
	});
	// The log is written asynchronously; its last lines would be lost without this delay.
	await delay(logFlushMilliseconds);
	process.exit(exitCode.success);
}
