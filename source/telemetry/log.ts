/** Structured logs: one line for each change of state, never one for each request. */
import process from 'node:process';
import bunyan, {type LogLevelString} from 'bunyan';

/** A structured log. */
export type Log = {
	info(fields: Readonly<Record<string, unknown>>, message: string): void;
	warn(fields: Readonly<Record<string, unknown>>, message: string): void;
	error(fields: Readonly<Record<string, unknown>>, message: string): void;
};

/**
 * Creates a log that writes JSON lines to standard error.
 * @param name - Name of the process.
 * @param level - Lowest level that is written.
 */
export function createLog(name: string, level: LogLevelString): Log {
	return bunyan.createLogger({
		name, level, stream: process.stderr, serializers: bunyan.stdSerializers,
	});
}
