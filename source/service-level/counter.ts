/** Counts outcomes and latencies of requests in an entry, by period. */
import {build, encodeIntoCompressedBase64, type Histogram} from 'hdr-histogram-js';
import {type BurnReport, type ServiceCount} from './report.js';

/** Histogram units per millisecond. */
export const unitsPerMillisecond = 10;

const maximumUnits = 600_000;

/** Creates an empty latency histogram. */
export function createLatencyHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1, highestTrackableValue: maximumUnits, numberOfSignificantValueDigits: 2, bitBucketSize: 32, autoResize: false, useWebAssembly: false,
	});
}

type Counts = {total: number; failed: number; slow: number; readonly histogram: Histogram};

/** Counts the requests of one entry. */
export type ServiceLevelCounter = {
	/** Counts one completed request. */
	record(service: string, milliseconds: number, isFailed: boolean, isSlow: boolean): void;
	/** Gets the counts since the last call as a report for the period that starts at `startedAt`, and resets them. */
	takeReport(startedAt: number): BurnReport;
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

	function takeCount(service: string, serviceCounts: Counts): ServiceCount {
		const taken: ServiceCount = {
			service, total: serviceCounts.total, failed: serviceCounts.failed, slow: serviceCounts.slow, histogram: encodeIntoCompressedBase64(serviceCounts.histogram),
		};
		serviceCounts.total = 0;
		serviceCounts.failed = 0;
		serviceCounts.slow = 0;
		serviceCounts.histogram.reset();
		return taken;
	}

	return {
		record(service, milliseconds, isFailed, isSlow) {
			const serviceCounts = getCounts(service);
			serviceCounts.total++;
			serviceCounts.failed += isFailed ? 1 : 0;
			serviceCounts.slow += isSlow ? 1 : 0;
			serviceCounts.histogram.recordValue(Math.min(maximumUnits, Math.max(1, Math.round(milliseconds * unitsPerMillisecond))));
		},
		takeReport(startedAt) {
			const services = [...counts].filter(([, serviceCounts]) => serviceCounts.total > 0).map(([service, serviceCounts]) => takeCount(service, serviceCounts));
			return {
				kind: 'burnReport', entry, environment, startedAt, services,
			};
		},
	};
}
