/** What the running processes have in common: their signals, and errors that name the settings. */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {type Log} from '../telemetry/index.js';
import {ListenError} from '../wire/index.js';
import {exitCode, rejectInput} from './exit.js';

/** Time in which the log is written out at the end, in milliseconds. */
const logFlushMilliseconds = 30;

/** A process that a signal stops. */
export type RunningProcess = {stop(): Promise<void>; getInFlight(): number};

/**
 * Turns an address that can't be listened on into an error that names the file.
 * @param file - Path of the settings.
 * @param startup - Start that may fail.
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
 * Stops gracefully on the first signal; a second one ends the process at once.
 * @param log - Log of the process.
 * @param runningProcess - What is stopped.
 */
export async function runUntilSignal(log: Log, runningProcess: RunningProcess): Promise<void> {
	await new Promise<void>(resolve => {
		let isStopping = false;
		function handleSignal(signal: NodeJS.Signals): void {
			if (isStopping) {
				log.warn({signal, cut: runningProcess.getInFlight()}, 'second signal; requests in flight are cut');
				process.exit(exitCode.failure);
			}

			isStopping = true;
			log.info({signal}, 'stopping');
			void runningProcess.stop().then(resolve);
		}

		process.on('SIGTERM', handleSignal);
		process.on('SIGINT', handleSignal);
	});
	// The last lines of the log are on their way in the background.
	await delay(logFlushMilliseconds);
	process.exit(exitCode.success);
}
