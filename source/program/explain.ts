/**
 * Explains how one request was handled, from the logs of several processes: selects the log lines of the request, and the other lines
 * that the same processes logged shortly before. Lines may have a prefix before their JSON, such as a time or the name of a host.
 */
import {readFileSync} from 'node:fs';
import {rejectInput} from './exit.js';
import {printLine} from './print.js';

/** Time before the first line of a request from which other lines of the same processes are included. */
const contextMilliseconds = 5000;

/** Parsed line of a log. */
export type LogLine = Readonly<Record<string, unknown>> & {readonly name: string; readonly time: string; readonly msg: string};

/**
 * Parses the JSON lines of a log; skips other lines.
 * @param text - Contents of a log.
 */
export function readLogLines(text: string): readonly LogLine[] {
	return text.split('\n').flatMap(line => {
		const start = line.indexOf('{"name"');
		if (start === -1) {
			return [];
		}

		try {
			return [JSON.parse(line.slice(start)) as LogLine];
		} catch {
			// A truncated line is skipped.
			return [];
		}
	});
}

/**
 * Gets the lines of a request and the context of its processes, ordered by time.
 * @param lines - Log lines of all processes.
 * @param id - Id of the request.
 */
export function getRelevantLines(lines: readonly LogLine[], id: string): readonly LogLine[] {
	const requestLines = lines.filter(line => line.id === id);
	const processNames = new Set(requestLines.map(line => line.name));
	const requestTimes = requestLines.map(line => Date.parse(line.time));
	const from = Math.min(...requestTimes) - contextMilliseconds;
	const until = Math.max(...requestTimes);
	const contextLines = lines.filter(line => line.msg !== 'request' && line.id !== id && processNames.has(line.name) && Date.parse(line.time) >= from && Date.parse(line.time) <= until);
	return [...requestLines, ...contextLines].toSorted((left, right) => Date.parse(left.time) - Date.parse(right.time));
}

function formatLine(line: LogLine): string {
	const {name, time, msg, hostname: _hostname, pid: _pid, level: _level, v: _v, decisions, ...fields} = line;
	const formattedDecisions = Array.isArray(decisions) ? decisions.map(step => `\n    ${JSON.stringify(step)}`).join('') : '';
	return `${time} ${name} ${msg} ${JSON.stringify(fields)}${formattedDecisions}`;
}

/**
 * Prints the log lines that explain a request.
 * @param id - Id of the request.
 * @param files - Paths of log files.
 */
export function explain(id: string, files: readonly string[]): void {
	const lines = files.flatMap(file => {
		try {
			return readLogLines(readFileSync(file, 'utf8'));
		} catch (error) {
			return rejectInput([`${file}: cannot be read (${(error as NodeJS.ErrnoException).code ?? 'unknown error'}); check the path`]);
		}
	});
	const relevantLines = getRelevantLines(lines, id);
	if (relevantLines.every(line => line.id !== id)) {
		rejectInput([`${id}: the logs contain no line of this request; ordinary requests are logged only as a sample`]);
	}

	for (const line of relevantLines) {
		printLine(formatLine(line));
	}
}
