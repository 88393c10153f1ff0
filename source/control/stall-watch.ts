/**
 * Watches for times in which this process did not run, and logs and counts them. To other processes, a process that did not run looks like
 * one whose links are cut. The processor time that passed meanwhile tells a process that was stopped from one whose event loop was blocked.
 */
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {type Log} from '../telemetry/index.js';
import {createStallDetector, type ClockReading} from './stall-detector.js';

const microsecondsPerMillisecond = 1000;

/** Readings of the clocks and of the processor time of this process, in milliseconds. */
export type StallReading = ClockReading & {readonly processor: number};

/** Watch for stalls. */
export type StallWatch = {
	/** Records that the process runs; must be called at a regular interval. */
	observe(): void;
	/** Checks whether calls that are read now may have waited during a stall. */
	hasStalledRecently(): boolean;
	getStallCount(): number;
	/** Gets the total duration of all stalls, in milliseconds. */
	getStalledMilliseconds(): number;
};

/** Options of `createStallWatch`. */
export type StallWatchOptions = {
	readonly log: Log;
	/** Regular interval of the observations. */
	readonly intervalMilliseconds: number;
	/** Reads the clocks; those of the process by default. */
	readClocks?(): StallReading;
};

/**
 * Creates a watch without an observation.
 * @param options - Log and interval.
 */
export function createStallWatch(options: StallWatchOptions): StallWatch {
	const {log, intervalMilliseconds, readClocks = readProcessClocks} = options;
	let stallCount = 0;
	let stalledMilliseconds = 0;
	let current = readClocks();
	let last = current;
	const detector = createStallDetector(intervalMilliseconds, recordStall);

	function recordStall(gapMilliseconds: number): void {
		const milliseconds = Math.round(gapMilliseconds);
		stallCount++;
		stalledMilliseconds += milliseconds;
		log.warn({
			milliseconds,
			wallMilliseconds: Math.round(current.wall - last.wall),
			monotonicMilliseconds: Math.round(current.monotonic - last.monotonic),
			processorMilliseconds: Math.round(current.processor - last.processor),
		}, 'this process did not run');
	}

	function read(): StallReading {
		last = current;
		current = readClocks();
		return current;
	}

	return {
		observe() {
			detector.observe(read());
		},
		hasStalledRecently: () => detector.hasStalledRecently(read()),
		getStallCount: () => stallCount,
		getStalledMilliseconds: () => stalledMilliseconds,
	};
}

function readProcessClocks(): StallReading {
	const {user, system} = process.cpuUsage();
	return {wall: Date.now(), monotonic: performance.now(), processor: (user + system) / microsecondsPerMillisecond};
}
