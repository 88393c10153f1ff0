/** Runs a control host until a signal stops it. */
import {randomInt} from 'node:crypto';
import process from 'node:process';
import {startControl, type Api, type ApiOptions} from '../control/index.js';
import {
	controlSettingsSchema, readTomlFile, resolveSecurity, type ControlSettings,
} from '../settings/index.js';
import {createLog} from '../telemetry/index.js';
import {exitCode, failCommand, rejectInput} from './exit.js';
import {printLine} from './print.js';
import {reportListenError, runUntilSignal} from './signals.js';
import {watchSettings} from './watch.js';

/** Options of `serveControl`. */
export type ServeControlOptions = {
	/** Whether this is the first start of a founding member. */
	readonly isFounding: boolean;
	/** Gets the factory of an operators' API that replaces the default one. */
	getApiFactory?(settings: ControlSettings): (options: ApiOptions) => Api;
};

/**
 * Runs a control host until a signal stops it.
 * @param file - Path of the settings file.
 * @param options - Whether the host is founding, and the factory of its API.
 */
export async function serveControl(file: string, options: ServeControlOptions): Promise<void> {
	const settings = readTomlFile(file, controlSettingsSchema).unwrapOrElse(rejectInput);
	if (settings.seeds.length === 0 && !settings.control.some(host => host.name === settings.name)) {
		rejectInput([`${file}: name: "${settings.name}" is not among the control hosts; add it to control`]);
	}

	const security = resolveSecurity({
		file, name: settings.name, security: settings.security, listenAddresses: [settings.links, settings.api],
	}).unwrapOrElse(rejectInput);
	const log = createLog(settings.name, settings.logLevel);
	const startResult = await reportListenError(file, startControl({
		settings, security, log, seed: randomInt(2 ** 31), isFounding: options.isFounding, createApi: options.getApiFactory?.(settings), onFailure(error) {
			log.error({err: error}, 'storage or the replica failed; exiting');
			process.exit(exitCode.failure);
		},
	}));
	const control = startResult.unwrapOrElse(message => failCommand(message));
	printLine(`ready control ${settings.name} api ${control.apiPort} links ${control.linksPort}`);
	watchSettings({
		file, schema: controlSettingsSchema, settings, log, onChange: control.reload,
	});
	await runUntilSignal(log, {stop: control.stop, getInFlight: () => 0});
}
