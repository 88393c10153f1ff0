/** A log that keeps its lines, for tests. */
import {type Log} from '../source/telemetry/index.js';

/** Recorded line: its fields and its message, and whether it is a warning or an error. */
export type RecordedLine = Readonly<Record<string, unknown>> & {readonly message: string};

/** Log that keeps its lines. */
export type RecordedLog = Log & {readonly lines: readonly RecordedLine[]};

/** Creates a log without lines. */
export function createRecordedLog(): RecordedLog {
	const lines: RecordedLine[] = [];

	function info(fields: Readonly<Record<string, unknown>>, message: string): void {
		lines.push({...fields, message});
	}

	function warn(fields: Readonly<Record<string, unknown>>, message: string): void {
		lines.push({...fields, message, isWarning: true});
	}

	return {
		lines, info, warn, error: warn,
	};
}
