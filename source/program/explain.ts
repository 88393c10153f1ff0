/**
 * Tells the story of one request from the logs of many processes: its own lines, and what
 * the processes that handled it came to believe shortly before. Lines may have something
 * before their JSON, such as a time or the name of a host.
 */
import {readFileSync} from 'node:fs';
import {rejectInput} from './exit.js';
import {printLine} from './print.js';

/** Time before a request from which changes of belief are shown, in milliseconds. */
const contextMilliseconds = 5000;

/** One line of a log. */
export type LogLine = Readonly<Record<string, unknown>> & {readonly name: string; readonly time: string; readonly msg: string};

/**
 * Reads the JSON lines of a log; other lines are left out.
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
			// A line that was cut off says nothing certain.
			return [];
		}
	});
}

/**
 * Gets the lines that explain a request, in the order of their times.
 * @param lines - Lines of all processes.
 * @param id - Id of the request.
 */
export function getRelevantLines(lines: readonly LogLine[], id: string): readonly LogLine[] {
	const requestLines = lines.filter(line => line.id === id);
	const processNames = new Set(requestLines.map(line => line.name));
	const requestTimes = requestLines.map(line => Date.parse(line.time));
	const from = Math.min(...requestTimes) - contextMilliseconds;
	const until = Math.max(...requestTimes);
	const contextLines = lines.filter(line => line.msg !== 'request' && processNames.has(line.name) && Date.parse(line.time) >= from && Date.parse(line.time) <= until);
	return [...requestLines, ...contextLines].toSorted((left, right) => Date.parse(left.time) - Date.parse(right.time));
}

function formatLine(line: LogLine): string {
	const {name, time, msg, hostname: _hostname, pid: _pid, level: _level, v: _v, decisions, ...fields} = line;
	const formattedDecisions = Array.isArray(decisions) ? decisions.map(step => `\n    ${JSON.stringify(step)}`).join('') : '';
	return `${time} ${name} ${msg} ${JSON.stringify(fields)}${formattedDecisions}`;
}

/**
 * Prints the story of a request.
 * @param id - Id of the request.
 * @param files - Logs of processes.
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
		rejectInput([`${id}: no line of these logs is about this request; of ordinary requests only a sample is told`]);
	}

	for (const line of relevantLines) {
		printLine(formatLine(line));
	}
}
