/** Counts outcomes and latencies in an entry, one period at a time. */
import {build, encodeIntoCompressedBase64, type Histogram} from 'hdr-histogram-js';
import {type BurnReport, type ServiceCount} from './report.js';

/** Recorded units in one millisecond. */
export const unitsPerMillisecond = 10;

const highestUnits = 600_000;

/**
 * Creates an empty latency histogram.
 */
export function createLatencyHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1, highestTrackableValue: highestUnits, numberOfSignificantValueDigits: 2, bitBucketSize: 32, autoResize: false, useWebAssembly: false,
	});
}

type Counts = {total: number; failed: number; slow: number; readonly histogram: Histogram};

/** Counts of one entry. */
export type ServiceLevelCounter = {
	/** Counts one answered request. */
	record(service: string, milliseconds: number, isFailed: boolean, isSlow: boolean): void;
	/** Takes the counts since the last call, as a report for the period that starts at `startedAt`. */
	take(startedAt: number): BurnReport;
};

/**
 * Creates a counter.
 * @param entry - Name of the entry.
 * @param environment - Environment that the entry serves.
 */
export function createServiceLevelCounter(entry: string, environment: string): ServiceLevelCounter {
	const counts = new Map<string, Counts>();

	function getCounts(service: string): Counts {
		const existing = counts.get(service);
		if (existing !== undefined) {
			return existing;
		}

		const created: Counts = {
			total: 0, failed: 0, slow: 0, histogram: createLatencyHistogram(),
		};
		counts.set(service, created);
		return created;
	}

	function takeService(service: string, counted: Counts): ServiceCount {
		const taken: ServiceCount = {
			service, total: counted.total, failed: counted.failed, slow: counted.slow, histogram: encodeIntoCompressedBase64(counted.histogram),
		};
		counted.total = 0;
		counted.failed = 0;
		counted.slow = 0;
		counted.histogram.reset();
		return taken;
	}

	return {
		record(service, milliseconds, isFailed, isSlow) {
			const counted = getCounts(service);
			counted.total++;
			counted.failed += isFailed ? 1 : 0;
			counted.slow += isSlow ? 1 : 0;
			counted.histogram.recordValue(Math.min(highestUnits, Math.max(1, Math.round(milliseconds * unitsPerMillisecond))));
		},
		take(startedAt) {
			const services = [...counts].filter(([, counted]) => counted.total > 0).map(([service, counted]) => takeService(service, counted));
			return {
				kind: 'burnReport', entry, environment, startedAt, services,
			};
		},
	};
}
