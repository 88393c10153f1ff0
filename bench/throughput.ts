/** Saturation of one entry against the smallest pass-through proxy, interleaved. */
import {
	atLeast, getMedian, type BenchOptions, type BenchReport,
} from './report.js';
import {runLoadProcess, startTestBed, type TestBed} from './test-bed.js';

const callersPerProcess = 32;
const loadProcesses = 2;
const service = 'catalogue';

/** Places to send a load to. */
export type Places = {readonly direct: readonly string[]; readonly proxy: string; readonly entry: string; readonly testBed: TestBed};

/** Starts two echo servers behind one entry and one bare proxy. */
export async function startPlaces(): Promise<Places> {
	const testBed = await startTestBed(1, 1);
	await testBed.applyDocument({zones: [{name: 'north'}], services: [{name: service, easing: {initialSlots: 1000}}]});
	const announceTo = `http://127.0.0.1:${testBed.cluster.controls[0]!.adminPort}`;
	const echoes = [
		await testBed.startStandIn(['echo', '--name', 'one', '--announce', announceTo]),
		await testBed.startStandIn(['echo', '--name', 'two', '--announce', announceTo]),
	];
	const ports = echoes.flatMap(echo => echo.ports);
	const proxy = await testBed.startStandIn(['proxy', ...ports.map(String)]);
	await testBed.warmUpServers(2, '/');
	return {
		direct: ports.map(port => `http://127.0.0.1:${port}/`), proxy: `http://127.0.0.1:${proxy.ports[0]}/`, entry: testBed.getEntryUrls('/')[0]!, testBed,
	};
}

/**
 * Measures how many requests a second a target can answer.
 * @param targets - Addresses that take turns.
 * @param seconds - Length.
 * @param seed - Seed of the load.
 */
export async function measureSaturation(targets: readonly string[], seconds: number, seed: number): Promise<number> {
	const results = await Promise.all(Array.from({length: loadProcesses}, async (_, index) => runLoadProcess({
		targets, callers: callersPerProcess, seconds, seed: seed + index,
	})));
	return results.reduce((sum, result) => sum + result.perSecond, 0);
}

/**
 * Runs the bench.
 * @param options - Seed and length.
 */
export async function runThroughput(options: BenchOptions): Promise<BenchReport> {
	const places = await startPlaces();
	const rounds = options.isQuick ? 3 : 7;
	const seconds = options.isQuick ? 2 : 4;
	const proxy: number[] = [];
	const entry: number[] = [];
	try {
		await measureSaturation([places.entry], 1, options.seed);
		await measureSaturation([places.proxy], 1, options.seed);
		for (let round = 0; round < rounds; round++) {
			proxy.push(await measureSaturation([places.proxy], seconds, options.seed + round));
			entry.push(await measureSaturation([places.entry], seconds, options.seed + round));
		}

		const usage = places.testBed.getUsage(places.testBed.cluster.entries[0]!);
		const ratio = getMedian(entry.map((value, index) => value / proxy[index]!));
		return {
			bench: 'throughput',
			seed: options.seed,
			rows: [{
				proxyPerSecond: getMedian(proxy), entryPerSecond: getMedian(entry), ratio, entryResidentMegabytes: usage.residentMegabytes,
			}],
			targets: [atLeast('saturation of an entry as a share of the bare proxy\'s', 0.8, ratio)],
		};
	} finally {
		await places.testBed.stop();
	}
}
