/** Measures running times and heap sizes. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {getMedian} from '../report.js';

export const microsecondsPerMillisecond = 1000;
export const nanosecondsPerMillisecond = 1_000_000;

// Exposes the garbage collector without a command-line flag of Node.js.
setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Collects garbage and gets the size of the remaining heap in bytes. */
export function getLiveHeapBytes(): number {
	collectGarbage();
	return process.memoryUsage().heapUsed;
}

/**
 * Measures the time of a run in microseconds, as the median of seven samples.
 * @param runsPerSample - Number of runs over which a sample is averaged.
 * @param run - Function to measure.
 */
export function measureMicroseconds(runsPerSample: number, run: () => void): number {
	const samples: number[] = [];
	for (let sample = 0; sample < 7; sample++) {
		const startedAt = performance.now();
		for (let index = 0; index < runsPerSample; index++) {
			run();
		}

		samples.push((performance.now() - startedAt) / runsPerSample * microsecondsPerMillisecond);
	}

	return getMedian(samples);
}
