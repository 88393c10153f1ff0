/** What the running processes have in common: their signals, and errors that name the settings. */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {type Log} from '../telemetry/index.js';
import {ListenError} from '../wire/index.js';
import {exitCode, rejectInput} from './exit.js';

/** Time in which the log is written out at the end, in milliseconds. */
const flushMilliseconds = 30;

/** A process that a signal stops. */
export type Running = {stop(): Promise<void>; getInFlight(): number};

/**
 * Turns an address that can't be listened on into an error that names the file.
 * @param file - Path of the settings.
 * @param starting - Start that may fail.
 */
export async function explainAddress<Started>(file: string, starting: Promise<Started>): Promise<Started> {
	try {
		return await starting;
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
 * @param running - What is stopped.
 */
export async function runUntilSignal(log: Log, running: Running): Promise<void> {
	await new Promise<void>(resolve => {
		let isStopping = false;
		function take(signal: NodeJS.Signals): void {
			if (isStopping) {
				log.warn({signal, cut: running.getInFlight()}, 'second signal; requests in flight are cut');
				process.exit(exitCode.refused);
			}

			isStopping = true;
			log.info({signal}, 'stopping');
			void running.stop().then(resolve);
		}

		process.on('SIGTERM', take);
		process.on('SIGINT', take);
	});
	// The last lines of the log are on their way in the background.
	await delay(flushMilliseconds);
	process.exit(exitCode.done);
}
