/** Structured logs on standard output: one line for each decision that affects a request or changes the state of the process. */
import bunyan, {type LogLevelString} from 'bunyan';
import {createLineWriter, getDescriptorWriter} from './line-writer.js';

const standardOutput = 1;

/** A structured log. */
export type Log = {
	info(fields: Readonly<Record<string, unknown>>, message: string): void;
	warn(fields: Readonly<Record<string, unknown>>, message: string): void;
	error(fields: Readonly<Record<string, unknown>>, message: string): void;
};

/**
 * Creates a log that writes JSON lines to standard output without blocking on a slow reader.
 * @param name - Name of the process.
 * @param level - Minimum level of the lines to write.
 */
export function createLog(name: string, level: LogLevelString): Log {
	const writer = createLineWriter(getDescriptorWriter(standardOutput));
	return bunyan.createLogger({
		name, level, streams: [{level, stream: writer as unknown as NodeJS.WritableStream}], serializers: bunyan.stdSerializers,
	});
}
