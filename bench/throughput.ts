/** Compares the throughput of a saturated entry with that of the baseline proxy, in alternating rounds. */
import {
	createMinimumTarget, getMedian, type BenchOptions, type BenchReport,
} from './report.js';
import {runLoadProcess, startTestBed, type TestBed} from './test-bed.js';

const callersPerProcess = 32;
const loadProcessCount = 2;
const serviceName = 'catalogue';

/** An entry and the baseline proxy in front of the same baseline servers. */
export type ProxyComparison = {
	/** Addresses of the baseline servers. */
	readonly directUrls: readonly string[];
	readonly proxyUrl: string;
	readonly entryUrl: string;
	readonly testBed: TestBed;
};

/** Starts two baseline servers behind an entry and the baseline proxy. */
export async function startProxyComparison(): Promise<ProxyComparison> {
	const testBed = await startTestBed(1, 1);
	await testBed.applyDocument({zones: [{name: 'north'}], services: [{name: serviceName, easing: {initialSlots: 1000}}]});
	const announceTo = `http://127.0.0.1:${testBed.cluster.controls[0]!.adminPort}`;
	const baselineServers = [
		await testBed.startStandIn(['echo', '--name', 'one', '--announce', announceTo]),
		await testBed.startStandIn(['echo', '--name', 'two', '--announce', announceTo]),
	];
	const ports = baselineServers.flatMap(server => server.ports);
	const proxy = await testBed.startStandIn(['proxy', ...ports.map(String)]);
	await testBed.warmUpServers(2, '/');
	return {
		directUrls: ports.map(port => `http://127.0.0.1:${port}/`),
		proxyUrl: `http://127.0.0.1:${proxy.ports[0]}/`,
		entryUrl: testBed.getEntryUrls('/')[0]!,
		testBed,
	};
}

/**
 * Measures the throughput of targets under a saturating closed-loop load, in responses per second.
 * @param targets - Addresses that receive the requests in round-robin order.
 * @param seconds - Duration of the load.
 * @param seed - Seed of the load.
 */
export async function measureSaturationThroughput(targets: readonly string[], seconds: number, seed: number): Promise<number> {
	const results = await Promise.all(Array.from({length: loadProcessCount}, async (_, index) => runLoadProcess({
		targets, callers: callersPerProcess, seconds, seed: seed + index,
	})));
	return results.reduce((sum, result) => sum + result.perSecond, 0);
}

/**
 * Measures the throughput of the proxy and of the entry in turn, and reports the median ratio of the rounds.
 * @param options - Seed and whether to measure fewer and shorter rounds.
 */
export async function runThroughput(options: BenchOptions): Promise<BenchReport> {
	const comparison = await startProxyComparison();
	const rounds = options.isQuick ? 3 : 7;
	const seconds = options.isQuick ? 2 : 4;
	const proxyRates: number[] = [];
	const entryRates: number[] = [];
	try {
		await measureSaturationThroughput([comparison.entryUrl], 1, options.seed);
		await measureSaturationThroughput([comparison.proxyUrl], 1, options.seed);
		for (let round = 0; round < rounds; round++) {
			proxyRates.push(await measureSaturationThroughput([comparison.proxyUrl], seconds, options.seed + round));
			entryRates.push(await measureSaturationThroughput([comparison.entryUrl], seconds, options.seed + round));
		}

		const usage = comparison.testBed.getUsage(comparison.testBed.cluster.entries[0]!);
		const ratio = getMedian(entryRates.map((entryRate, index) => entryRate / proxyRates[index]!));
		return {
			bench: 'throughput',
			seed: options.seed,
			rows: [{
				proxyPerSecond: getMedian(proxyRates), entryPerSecond: getMedian(entryRates), ratio, entryResidentMegabytes: usage.residentMegabytes,
			}],
			targets: [createMinimumTarget('throughput of a saturated entry, relative to the baseline proxy', 0.8, ratio)],
		};
	} finally {
		await comparison.testBed.stop();
	}
}
