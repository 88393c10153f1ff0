/** Measures time and memory for slopes. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {getMedian} from '../report.js';

export const microsecondsPerMillisecond = 1000;
export const nanosecondsPerMillisecond = 1_000_000;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Gets the bytes of live objects. */
export function getLiveBytes(): number {
	collectGarbage();
	return process.memoryUsage().heapUsed;
}

/**
 * Gets the median time of a run in microseconds.
 * @param repeats - Runs in each of seven samples.
 * @param run - What is measured.
 */
export function time(repeats: number, run: () => void): number {
	const samples: number[] = [];
	for (let sample = 0; sample < 7; sample++) {
		const startedAt = performance.now();
		for (let repeat = 0; repeat < repeats; repeat++) {
			run();
		}

		samples.push((performance.now() - startedAt) / repeats * microsecondsPerMillisecond);
	}

	return getMedian(samples);
}
