/** Reads a settings file again after a signal, or when it was written; settings that are not valid change nothing. */
import {stat} from 'node:fs/promises';
import process from 'node:process';
import {type z} from 'zod';
import {readTomlFile} from '../settings/index.js';
import {type Log} from '../telemetry/index.js';

/** Interval at which the file is looked at, in milliseconds. */
const pollIntervalMilliseconds = 2000;

/** Options of `watchSettings`. */
export type WatchOptions<Schema extends z.ZodType> = {
	readonly file: string;
	readonly schema: Schema;
	readonly log: Log;
	/** Takes settings that were read again. */
	onChange(settings: z.infer<Schema>): void;
};

/**
 * Starts to watch a settings file.
 * @param options - File, schema and the function that takes settings.
 */
export function watchSettings<Schema extends z.ZodType>(options: WatchOptions<Schema>): void {
	const {file, log} = options;
	let modifiedAt: number | undefined;

	function reload(): void {
		const settings = readTomlFile(file, options.schema);
		if (settings.isErr) {
			log.error({faults: settings.error}, 'settings are not valid; the earlier ones stay in force');
			return;
		}

		log.info({file}, 'settings read again');
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
			log.warn({error}, 'the settings file cannot be looked at');
		}
	}

	process.on('SIGHUP', reload);
	setInterval(() => {
		void pollFile();
	}, pollIntervalMilliseconds).unref();
}
