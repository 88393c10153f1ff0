/** Runs an entry until a signal stops it. */
import {randomInt} from 'node:crypto';
import {startEntry, type Dialect} from '../entry/index.js';
import {entrySettingsSchema, readTomlFile, resolveSecurity} from '../settings/index.js';
import {createLog} from '../telemetry/index.js';
import {rejectInput} from './exit.js';
import {printLine} from './print.js';
import {reportListenError, runUntilSignal} from './signals.js';
import {watchSettings} from './watch.js';

/** Options of `serveEntry`. */
export type ServeEntryOptions = {
	/** Headers exchanged with callers and servers; the `guavadeck-` headers by default. */
	readonly dialect?: Dialect;
};

/**
 * Runs an entry until a signal stops it.
 * @param file - Path of the settings file.
 * @param options - Dialect of the headers.
 */
export async function serveEntry(file: string, options: ServeEntryOptions = {}): Promise<void> {
	const settings = readTomlFile(file, entrySettingsSchema).unwrapOrElse(rejectInput);
	const security = resolveSecurity({
		file, name: settings.name, security: settings.security, listenAddresses: [settings.admin, ...settings.peers === undefined ? [] : [settings.peers]],
	}).unwrapOrElse(rejectInput);
	const log = createLog(settings.name, settings.logLevel);
	const entry = await reportListenError(file, startEntry({
		settings, security, log, seed: randomInt(2 ** 31), dialect: options.dialect,
	}));
	printLine(`ready entry ${settings.name} callers ${entry.callersPort} admin ${entry.adminPort}`);
	watchSettings({
		file, schema: entrySettingsSchema, settings, log, onChange: entry.reload,
	});
	await runUntilSignal(log, entry);
}
