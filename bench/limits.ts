/** Measures the goodput at loads of 90%, 150% and 300% of the servers' capacity, and the recovery after the overload. */
import {setTimeout as delay} from 'node:timers/promises';
import {type LoadResult} from '../source/program/load.js';
import {
	createMinimumTarget, createMaximumTarget, type BenchOptions, type BenchReport, type BenchRow, type BenchTarget,
} from './report.js';
import {
	runLoadProcess, startTestBed, type TestBed, type StandInProcess,
} from './test-bed.js';

const serverCount = 6;
const slotsPerServer = 4;
const meanServiceMilliseconds = 60;
const capacityRequestsPerSecond = serverCount * slotsPerServer * 1000 / meanServiceMilliseconds;
const loadProcessCount = 2;
const deadlineMilliseconds = 1000;

/** Wait after the overload before the recovery is checked. */
const recoveryMilliseconds = 2000;

/** Hedge ratio of the measurements with hedges. */
const enabledHedgeRatio = 0.05;

async function runLoad(testBed: TestBed, loadShare: number, seconds: number, seed: number): Promise<readonly LoadResult[]> {
	return Promise.all(Array.from({length: loadProcessCount}, async (_, index) => runLoadProcess({
		targets: testBed.getEntryUrls('/'), requestsPerSecond: capacityRequestsPerSecond * loadShare / loadProcessCount, seconds, seed: seed + index,
	})));
}

function sumResults(results: readonly LoadResult[], getCount: (result: LoadResult) => number): number {
	return results.reduce((total, result) => total + getCount(result), 0);
}

/**
 * Measures the overload with and without hedges, and the recovery.
 * @param options - Seed and whether to measure only with hedges, for a shorter time.
 */
export async function runLimits(options: BenchOptions): Promise<BenchReport> {
	const testBed = await startTestBed(1, 3);
	const seconds = options.isQuick ? 3 : 8;
	const rows: BenchRow[] = [];
	const targets: BenchTarget[] = [];
	try {
		await testBed.applyDocument(createDocument(0));
		const announceTo = testBed.cluster.controls.map(member => `http://127.0.0.1:${member.adminPort}`).join(',');
		const standIn = await testBed.startStandIn([
			'server',
			'--count',
			String(serverCount),
			'--slots',
			String(slotsPerServer),
			'--mean',
			String(meanServiceMilliseconds),
			'--zones',
			'north,south,east',
			'--announce',
			announceTo,
			'--seed',
			String(options.seed),
		]);
		await testBed.warmUpServers(serverCount, '/');
		for (const share of [0.9, 1.5, 3]) {
			for (const hedgeRatio of options.isQuick ? [enabledHedgeRatio] : [0, enabledHedgeRatio]) {
				await testBed.applyDocument(createDocument(hedgeRatio));
				const row = await measure(testBed, standIn, {share, seconds, seed: options.seed});
				rows.push({hedgeRatio, ...row});
				if (share > 1) {
					targets.push(createMinimumTarget(
						`goodput at ${share * 100}% load with a hedge ratio of ${hedgeRatio}, relative to the servers' capacity`,
						0.9,
						row.goodput / capacityRequestsPerSecond,
					));
				}
			}
		}

		await delay(recoveryMilliseconds);
		const recoveryResults = await runLoad(testBed, 0.5, 2, options.seed);
		targets.push(createMaximumTarget('requests without a 200 response 2 s after the load fell', 0, sumResults(recoveryResults, result => result.sent - (result.statuses['200'] ?? 0))));
		return {
			bench: 'limits', seed: options.seed, rows, targets,
		};
	} finally {
		await testBed.stop();
	}
}

/** Results of a load; p99 is the largest of the load processes, in milliseconds. */
type Measurement = {
	/** Load as a share of the servers' capacity. */
	readonly share: number;
	readonly sent: number;
	/** Number of 200 responses per second. */
	readonly goodput: number;
	/** Number of 503 responses. */
	readonly notRun: number;
	/** Number of requests that arrived at the servers for each request of the load. */
	readonly attemptsForEachSent: number;
	readonly p99: number;
};

function createDocument(hedgeRatio: number): unknown {
	return {
		zones: [{name: 'north'}, {name: 'south'}, {name: 'east'}], services: [{
			name: 'catalogue', deadlineMilliseconds, queueLength: 100, hedgeRatio, easing: {initialSlots: slotsPerServer},
		}],
	};
}

async function measure(
	testBed: TestBed,
	standIn: StandInProcess,
	options: {readonly share: number; readonly seconds: number; readonly seed: number},
): Promise<Measurement> {
	await testBed.callStandIn(standIn, {verb: 'reset'});
	const results = await runLoad(testBed, options.share, options.seconds, options.seed);
	const report = await testBed.callStandIn(standIn);
	const sent = sumResults(results, result => result.sent);
	return {
		share: options.share,
		sent,
		goodput: sumResults(results, result => result.statuses['200'] ?? 0) / options.seconds,
		notRun: sumResults(results, result => result.statuses['503'] ?? 0),
		attemptsForEachSent: report.servers.reduce((total, server) => total + server.arrived, 0) / sent,
		p99: Math.max(...results.map(result => result.p99)),
	};
}
