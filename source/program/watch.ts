/** Reloads a settings file on SIGHUP and when its modification time changes; invalid settings are ignored. */
import {stat} from 'node:fs/promises';
import process from 'node:process';
import {type z} from 'zod';
import {readTomlFile} from '../settings/index.js';
import {type Log} from '../telemetry/index.js';
import {compareSettings} from './settings-change.js';

/** Interval at which the modification time of the file is checked. */
const pollIntervalMilliseconds = 2000;

/** Schema of the settings of a process. */
type SettingsSchema = z.ZodType<Readonly<Record<string, unknown>>>;

/** Options of `watchSettings`. */
export type WatchOptions<Schema extends SettingsSchema> = {
	readonly file: string;
	readonly schema: Schema;
	/** Settings with which the process started. */
	readonly settings: z.infer<Schema>;
	readonly log: Log;
	/** Called with the reloaded settings if they are valid. */
	onChange(settings: z.infer<Schema>): void;
};

/**
 * Starts watching a settings file.
 * @param options - File, schema and callback.
 */
export function watchSettings<Schema extends SettingsSchema>(options: WatchOptions<Schema>): void {
	const {file, log} = options;
	let modifiedAt: number | undefined;

	function reload(): void {
		const settings = readTomlFile(file, options.schema);
		if (settings.isErr) {
			log.error({faults: settings.error}, 'settings are invalid; keeping the previous ones');
			return;
		}

		log.info({file, ...compareSettings(options.settings, settings.value)}, 'settings read again');
		options.onChange(settings.value);
	}

	async function pollFile(): Promise<void> {
		try {
			const {mtimeMs} = await stat(file);
			if (modifiedAt !== undefined && mtimeMs !== modifiedAt) {
				reload();
			}

			modifiedAt = mtimeMs;
		} catch (error) {
			log.warn({err: error}, 'cannot read the modification time of the settings file');
		}
	}

	process.on('SIGHUP', reload);
	setInterval(() => {
		void pollFile();
	}, pollIntervalMilliseconds).unref();
}
