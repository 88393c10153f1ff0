/** Measures the latency that an entry adds, at several loads below its saturation throughput. */
import {
	createMaximumTarget, getMedian, type BenchOptions, type BenchReport, type BenchRow, type BenchTarget,
} from './report.js';
import {runLoadProcess} from './test-bed.js';
import {measureSaturationThroughput, startProxyComparison} from './throughput.js';

/** Loads, as shares of the saturation throughput. */
const loadShares = [0.25, 0.5, 0.75];

const maximumAddedMilliseconds = 1.1;
const loadProcessCount = 2;

/** Measures p50, p99 and p99.9 in milliseconds, each as the largest value of the load processes. */
async function measureLatencies(targets: readonly string[], load: {readonly requestsPerSecond: number; readonly seconds: number; readonly seed: number}): Promise<number[]> {
	const results = await Promise.all(Array.from({length: loadProcessCount}, async (_, index) => runLoadProcess({
		targets, requestsPerSecond: load.requestsPerSecond / loadProcessCount, seconds: load.seconds, seed: load.seed + index,
	})));
	return [
		Math.max(...results.map(result => result.p50)),
		Math.max(...results.map(result => result.p99)),
		Math.max(...results.map(result => result.p999)),
	];
}

/**
 * Measures the latency of direct requests and of requests through the entry and the proxy.
 * @param options - Seed and whether to measure a single, shorter round.
 */
export async function runAddedLatency(options: BenchOptions): Promise<BenchReport> {
	const comparison = await startProxyComparison();
	const rounds = options.isQuick ? 1 : 5;
	const seconds = options.isQuick ? 1.5 : 5;
	const rows: BenchRow[] = [];
	const targets: BenchTarget[] = [];
	try {
		await measureSaturationThroughput([comparison.entryUrl], 1, options.seed);
		const saturationThroughput = await measureSaturationThroughput([comparison.entryUrl], 2, options.seed);
		for (const share of loadShares) {
			const directLatencies: number[][] = [];
			const entryLatencies: number[][] = [];
			const proxyLatencies: number[][] = [];
			for (let round = 0; round < rounds; round++) {
				const load = {requestsPerSecond: saturationThroughput * share, seconds, seed: options.seed + round};
				directLatencies.push(await measureLatencies(comparison.directUrls, load));
				entryLatencies.push(await measureLatencies([comparison.entryUrl], load));
				proxyLatencies.push(await measureLatencies([comparison.proxyUrl], load));
			}

			const [direct50, direct99, direct999] = [0, 1, 2].map(percentileIndex => getMedian(directLatencies.map(round => round[percentileIndex]!)));
			const [entry50, entry99, entry999] = [0, 1, 2].map(percentileIndex => getMedian(entryLatencies.map(round => round[percentileIndex]!)));
			const [proxy50, proxy99] = [0, 1].map(percentileIndex => getMedian(proxyLatencies.map(round => round[percentileIndex]!)));
			const added99 = entry99! - direct99!;
			rows.push({
				share,
				rate: saturationThroughput * share,
				direct50: direct50!,
				entry50: entry50!,
				direct99: direct99!,
				entry99: entry99!,
				direct999: direct999!,
				entry999: entry999!,
				proxy50: proxy50!,
				proxy99: proxy99!,
				added50: entry50! - direct50!,
				added99,
			});
			targets.push(createMaximumTarget(`p99 added at ${share * 100}% of the saturation throughput, in ms`, maximumAddedMilliseconds, added99));
		}

		return {
			bench: 'added-latency', seed: options.seed, rows, targets,
		};
	} finally {
		await comparison.testBed.stop();
	}
}
