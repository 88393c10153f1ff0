/** Runs control and entry processes until a signal stops them. */
import {randomInt} from 'node:crypto';
import process from 'node:process';
import {startControl} from '../control/index.js';
import {startEntry} from '../entry/index.js';
import {
	controlSettingsSchema, entrySettingsSchema, readTomlFile, resolveSecurity,
} from '../settings/index.js';
import {createLog, type Log} from '../telemetry/index.js';
import {ListenError} from '../wire/index.js';
import {exitCode, refuse, rejectInput} from './exit.js';
import {printLine} from './print.js';

type Running = {stop(): Promise<void>; getInFlight(): number};

/**
 * Runs a control host.
 * @param file - Path of the settings.
 * @param founding - Whether this is the first start of a founding member.
 */
export async function serveControl(file: string, founding: boolean): Promise<void> {
	const settings = readTomlFile(file, controlSettingsSchema).unwrapOrElse(rejectInput);
	if (!settings.control.some(host => host.name === settings.name)) {
		rejectInput([`${file}: name: "${settings.name}" is not among the control hosts; add it to control`]);
	}

	const security = resolveSecurity({
		file, name: settings.name, security: settings.security, listening: [settings.links, settings.api],
	}).unwrapOrElse(rejectInput);
	const log = createLog(settings.name, settings.logLevel);
	const started = await explainAddress(file, startControl({
		settings, security, log, seed: randomInt(2 ** 31), founding, failed(error) {
			fail(log, error);
		},
	}));
	const control = started.unwrapOrElse(fault => refuse(fault));
	printLine(`ready control ${settings.name} api ${control.apiPort} links ${control.linksPort}`);
	await runUntilSignal(log, {stop: control.stop, getInFlight: () => 0});
}

/**
 * Runs an entry.
 * @param file - Path of the settings.
 */
export async function serveEntry(file: string): Promise<void> {
	const settings = readTomlFile(file, entrySettingsSchema).unwrapOrElse(rejectInput);
	const security = resolveSecurity({
		file, name: settings.name, security: settings.security, listening: [settings.admin, ...settings.peers === undefined ? [] : [settings.peers]],
	}).unwrapOrElse(rejectInput);
	const log = createLog(settings.name, settings.logLevel);
	const entry = await explainAddress(file, startEntry({
		settings, security, log, seed: randomInt(2 ** 31),
	}));
	printLine(`ready entry ${settings.name} callers ${entry.callersPort} admin ${entry.adminPort}`);
	await runUntilSignal(log, entry);
}

/** Turns an address that can't be listened on into an error that names the file. */
async function explainAddress<Started>(file: string, starting: Promise<Started>): Promise<Started> {
	try {
		return await starting;
	} catch (error) {
		if (error instanceof ListenError) {
			rejectInput([`${file}: ${error.message}`]);
		}

		throw error;
	}
}

function fail(log: Log, error: Error): void {
	log.error({error}, 'storage failed; the process stops');
	process.exit(exitCode.refused);
}

/** Stops gracefully on the first signal; a second one ends the process at once. */
async function runUntilSignal(log: Log, running: Running): Promise<void> {
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
	process.exit(exitCode.done);
}
