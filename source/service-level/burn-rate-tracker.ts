/**
 * Tracks burn rates from the merged counts of all entries, which are kept in ten-second periods for the last
 * hour and in five-minute periods for three days, with latency histograms for the last hour.
 */
import {decodeFromCompressedBase64, type Histogram} from 'hdr-histogram-js';
import {type EnvironmentDocument, type Service} from '../configuration/index.js';
import {createLatencyHistogram, unitsPerMillisecond} from './counter.js';
import {
	periodMilliseconds, type BurnReport, type BurnSummary, type BurnWindow, type ServiceBurn, type ServiceCount,
} from './report.js';

const millisecondsPerMinute = 60_000;
/** One hour of ten-second periods. */
const shortPeriodCount = 360;
const longPeriodMilliseconds = 300_000;

/** Three days of long periods. */
const longPeriodCount = 864;
const histogramPeriodMilliseconds = 300_000;

/** One hour of histograms. */
const retainedHistogramCount = 12;

/** Burn rate above which a service counts as burning if both of its shortest windows exceed it. */
const burnRateThreshold = 14.4;

const burnWindows = [
	{window: '5 min', minutes: 5},
	{window: '1 h', minutes: 60},
	{window: '6 h', minutes: 360},
	{window: '3 d', minutes: 4320},
] as const;

/** Ring buffer of counts by period. */
type PeriodRing = {
	add(at: number, count: ServiceCount): void;
	sum(from: number, to: number): {readonly total: number; readonly failed: number; readonly slow: number};
};

const fieldsPerPeriod = 3;

function createPeriodRing(periodCount: number, lengthMilliseconds: number): PeriodRing {
	const fields = new Uint32Array(periodCount * fieldsPerPeriod);
	const periodNumbers = new Float64Array(periodCount).fill(-1);

	return {
		add(at, count) {
			const periodNumber = Math.floor(at / lengthMilliseconds);
			const index = periodNumber % periodCount;
			const offset = index * fieldsPerPeriod;
			if (periodNumbers[index]! < periodNumber) {
				periodNumbers[index] = periodNumber;
				fields.fill(0, offset, offset + fieldsPerPeriod);
			}

			if (periodNumbers[index] === periodNumber) {
				fields[offset]! += count.total;
				fields[offset + 1]! += count.failed;
				fields[offset + 2]! += count.slow;
			}
		},
		sum(from, to) {
			let total = 0;
			let failed = 0;
			let slow = 0;
			for (let periodNumber = Math.max(0, Math.floor(from / lengthMilliseconds)); periodNumber <= Math.floor(to / lengthMilliseconds); periodNumber++) {
				const index = periodNumber % periodCount;
				if (periodNumbers[index] === periodNumber) {
					const offset = index * fieldsPerPeriod;
					total += fields[offset]!;
					failed += fields[offset + 1]!;
					slow += fields[offset + 2]!;
				}
			}

			return {total, failed, slow};
		},
	};
}

type PeriodHistogram = {readonly periodNumber: number; readonly histogram: Histogram};
type DecodedCount = {readonly count: ServiceCount; readonly histogram: Histogram};
type ServiceState = {readonly shortPeriods: PeriodRing; readonly longPeriods: PeriodRing; histograms: PeriodHistogram[]};

/** Tracks the burn rates of all services. */
export type BurnRateTracker = {
	add(report: BurnReport): void;
	/** Gets the burn rates of every service of a document. */
	getSummary(environment: string, document: EnvironmentDocument, now: number): BurnSummary;
};

/** Creates a tracker without counts. */
export function createBurnRateTracker(): BurnRateTracker {
	const states = new Map<string, ServiceState>();

	function getState(environment: string, service: string): ServiceState {
		const key = `${environment}/${service}`;
		const existing = states.get(key);
		if (existing !== undefined) {
			return existing;
		}

		const created: ServiceState = {
			shortPeriods: createPeriodRing(shortPeriodCount, periodMilliseconds),
			longPeriods: createPeriodRing(longPeriodCount, longPeriodMilliseconds),
			histograms: [],
		};
		states.set(key, created);
		return created;
	}

	function addCount(environment: string, startedAt: number, {count, histogram}: DecodedCount): void {
		const state = getState(environment, count.service);
		state.shortPeriods.add(startedAt, count);
		state.longPeriods.add(startedAt, count);
		const periodNumber = Math.floor(startedAt / histogramPeriodMilliseconds);
		let period = state.histograms.find(candidate => candidate.periodNumber === periodNumber);
		if (period === undefined) {
			period = {periodNumber, histogram: createLatencyHistogram()};
			state.histograms = [...state.histograms, period].slice(-retainedHistogramCount);
		}

		period.histogram.add(histogram);
	}

	function getWindow(service: Service, state: ServiceState, window: (typeof burnWindows)[number], now: number): BurnWindow {
		const from = now - (window.minutes * millisecondsPerMinute);
		const sums = window.minutes <= 60 ? state.shortPeriods.sum(from, now) : state.longPeriods.sum(from, now);
		const {availability, latencyShare} = service.objective;
		return {
			...window,
			...sums,
			availabilityBurn: getBurnRate(sums.failed, sums.total, availability),
			latencyBurn: getBurnRate(sums.slow, sums.total, latencyShare),
		};
	}

	function getServiceBurn(environment: string, service: Service, now: number): ServiceBurn {
		const state = getState(environment, service.name);
		const windows = burnWindows.map(window => getWindow(service, state, window, now));
		const mergedHistogram = createLatencyHistogram();
		for (const {histogram} of state.histograms) {
			mergedHistogram.add(histogram);
		}

		const [shortWindow, longWindow] = windows;
		const isBurning = (shortWindow!.availabilityBurn > burnRateThreshold && longWindow!.availabilityBurn > burnRateThreshold)
			|| (shortWindow!.latencyBurn > burnRateThreshold && longWindow!.latencyBurn > burnRateThreshold);
		return {
			service: service.name,
			objective: service.objective,
			windows,
			budgetLeft: 1 - windows.at(-1)!.availabilityBurn,
			p50: mergedHistogram.getValueAtPercentile(50) / unitsPerMillisecond,
			p99: mergedHistogram.getValueAtPercentile(99) / unitsPerMillisecond,
			p999: mergedHistogram.getValueAtPercentile(99.9) / unitsPerMillisecond,
			recent: getRecentShares(state, now),
			isBurning,
		};
	}

	return {
		add(report) {
			// All of them are decoded first, so that a report with an unreadable histogram adds nothing.
			const counts = report.services.map(count => ({count, histogram: decodeFromCompressedBase64(count.histogram, 32, false)}));
			for (const count of counts) {
				addCount(report.environment, report.startedAt, count);
			}
		},
		getSummary: (environment, document, now) => ({
			environment,
			services: document.services.map(service => getServiceBurn(environment, service, now)),
		}),
	};
}

function getBurnRate(bad: number, total: number, objective: number): number {
	return total === 0 ? 0 : bad / total / (1 - objective);
}

function getRecentShares(state: ServiceState, now: number): readonly number[] {
	const shares: number[] = [];
	for (let minute = 59; minute >= 0; minute--) {
		const to = now - (minute * millisecondsPerMinute);
		const sums = state.shortPeriods.sum(to - millisecondsPerMinute + 1, to - 1);
		shares.push(sums.total === 0 ? 0 : (sums.failed + sums.slow) / sums.total);
	}

	return shares;
}
