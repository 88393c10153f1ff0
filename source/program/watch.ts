/** Reloads a settings file on SIGHUP and when its modification time changes; invalid settings are ignored. */
import {stat} from 'node:fs/promises';
import process from 'node:process';
import {type z} from 'zod';
import {readTomlFile} from '../settings/index.js';
import {type Log} from '../telemetry/index.js';

/** Interval at which the modification time of the file is checked. */
const pollIntervalMilliseconds = 2000;

/** Options of `watchSettings`. */
export type WatchOptions<Schema extends z.ZodType> = {
	readonly file: string;
	readonly schema: Schema;
	readonly log: Log;
	/** Called with the reloaded settings if they are valid. */
	onChange(settings: z.infer<Schema>): void;
};

/**
 * Starts watching a settings file.
 * @param options - File, schema and callback.
 */
export function watchSettings<Schema extends z.ZodType>(options: WatchOptions<Schema>): void {
	const {file, log} = options;
	let modifiedAt: number | undefined;

	function reload(): void {
		const settings = readTomlFile(file, options.schema);
		if (settings.isErr) {
			log.error({faults: settings.error}, 'settings are invalid; keeping the previous ones');
			return;
		}

		log.info({file}, 'settings reloaded');
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
