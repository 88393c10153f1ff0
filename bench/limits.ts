/** Overload: goodput at 150% and 300% of what the servers can do, and the time to recover. */
import {setTimeout as delay} from 'node:timers/promises';
import {type LoadResult} from '../source/program/load.js';
import {
	atLeast, atMost, type BenchOptions, type BenchReport, type BenchRow, type BenchTarget,
} from './report.js';
import {
	runLoadProcess, startTestBed, type TestBed, type StandInProcess,
} from './test-bed.js';

const servers = 6;
const slots = 4;
const meanMilliseconds = 60;
const capacityPerSecond = servers * slots * 1000 / meanMilliseconds;
const loadProcesses = 2;
const deadlineMilliseconds = 1000;
const recoveryMilliseconds = 2000;
const hedged = 0.05;

async function load(testBed: TestBed, share: number, seconds: number, seed: number): Promise<readonly LoadResult[]> {
	return Promise.all(Array.from({length: loadProcesses}, async (_, index) => runLoadProcess({
		targets: testBed.getEntryUrls('/'), requestsPerSecond: capacityPerSecond * share / loadProcesses, seconds, seed: seed + index,
	})));
}

function sum(results: readonly LoadResult[], read: (result: LoadResult) => number): number {
	return results.reduce((total, result) => total + read(result), 0);
}

/**
 * Runs the bench.
 * @param options - Seed and length.
 */
export async function runLimits(options: BenchOptions): Promise<BenchReport> {
	const testBed = await startTestBed(1, 3);
	const seconds = options.isQuick ? 3 : 8;
	const rows: BenchRow[] = [];
	const targets: BenchTarget[] = [];
	try {
		await testBed.applyDocument(getDocument(0));
		const announceTo = testBed.cluster.controls.map(member => `http://127.0.0.1:${member.adminPort}`).join(',');
		const standIn = await testBed.startStandIn(['server', '--count', String(servers), '--slots', String(slots), '--mean', String(meanMilliseconds), '--zones', 'north,south,east', '--announce', announceTo, '--seed', String(options.seed)]);
		await testBed.warmUpServers(servers, '/');
		for (const share of [0.9, 1.5, 3]) {
			for (const hedgeRatio of options.isQuick ? [hedged] : [0, hedged]) {
				await testBed.applyDocument(getDocument(hedgeRatio));
				const row = await measure(testBed, standIn, {share, seconds, seed: options.seed});
				rows.push({hedgeRatio, ...row});
				if (share > 1) {
					targets.push(atLeast(`goodput at ${share * 100}% with ${hedgeRatio} hedges over what the servers can do`, 0.9, row.goodput / capacityPerSecond));
				}
			}
		}

		await delay(recoveryMilliseconds);
		const recovered = await load(testBed, 0.5, 2, options.seed);
		targets.push(atMost('requests refused 2 s after the load fell', 0, sum(recovered, result => result.sent - (result.statuses['200'] ?? 0))));
		return {
			bench: 'limits', seed: options.seed, rows, targets,
		};
	} finally {
		await testBed.stop();
	}
}

type Measured = {
	readonly share: number;
	readonly sent: number;
	readonly goodput: number;
	readonly notRun: number;
	readonly attemptsForEachSent: number;
	readonly p99: number;
};

function getDocument(hedgeRatio: number): unknown {
	return {
		zones: [{name: 'north'}, {name: 'south'}, {name: 'east'}], services: [{
			name: 'catalogue', deadlineMilliseconds, queueLength: 100, hedgeRatio, easing: {initialSlots: slots},
		}],
	};
}

async function measure(testBed: TestBed, standIn: StandInProcess, options: {readonly share: number; readonly seconds: number; readonly seed: number}): Promise<Measured> {
	await testBed.callStandIn(standIn, {verb: 'reset'});
	const results = await load(testBed, options.share, options.seconds, options.seed);
	const after = await testBed.callStandIn(standIn);
	const sent = sum(results, result => result.sent);
	return {
		share: options.share,
		sent,
		goodput: sum(results, result => result.statuses['200'] ?? 0) / options.seconds,
		notRun: sum(results, result => result.statuses['503'] ?? 0),
		attemptsForEachSent: after.servers.reduce((total, server) => total + server.arrived, 0) / sent,
		p99: Math.max(...results.map(result => result.p99)),
	};
}
