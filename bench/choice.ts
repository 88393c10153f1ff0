/**
 * Policies under the same arrivals, on real processes: fifteen entries and ten servers
 * of six slots (half of the catalogue service's) with 60 ms of mean service time, so
 * that no process is short of processor time. The central queue runs in one entry that
 * sees every request, as the bound.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type LoadResult} from '../source/program/load.js';
import {
	atMost, getMedian, type BenchOptions, type BenchReport, type BenchRow, type BenchTarget,
} from './report.js';
import {
	runLoadProcess, startTestBed, type TestBed, type StandInProcess,
} from './test-bed.js';

const servers = 10;
const ordinaryEntries = 15;
const slots = 6;
const meanMilliseconds = 60;
const serverProcesses = 2;
const loadProcesses = 2;
const settleMilliseconds = 400;
const capacityPerSecond = servers * slots * 1000 / meanMilliseconds;
const centralQueue = 'central-queue';
const hedgeSuffix = '+hedge';
const chosenPolicy = 'least-in-flight';

/** A condition under which the policies are compared. */
type Condition = {
	readonly name: string;
	readonly share: number;
	/** Order that brings the condition about in the servers. */
	readonly order: unknown;
	/** Order that applies only to the first server. */
	readonly firstOrder: unknown;
};

const restore = {noise: 1, behaviour: {failFastShare: 0, distribution: 'exponential', slowness: 1}};

const conditions: readonly Condition[] = [
	{
		name: 'steady 70%', share: 0.7, order: {}, firstOrder: undefined,
	},
	{
		name: 'steady 85%', share: 0.85, order: {}, firstOrder: undefined,
	},
	{
		name: 'noisy 70%', share: 0.7, order: {noise: 5}, firstOrder: undefined,
	},
	{
		name: 'heavy tail 70%', share: 0.7, order: {behaviour: {distribution: 'pareto'}}, firstOrder: undefined,
	},
	{
		name: 'fail-fast 50%', share: 0.5, order: {}, firstOrder: {servers: ['catalogue-1'], behaviour: {failFastShare: 1}},
	},
	{
		name: 'steady 95%', share: 0.95, order: {}, firstOrder: undefined,
	},
	// Comes last, since an order can't take back what a server says of its load.
	{
		name: 'lying 70%', share: 0.7, order: {}, firstOrder: {servers: ['catalogue-1', 'catalogue-2'], behaviour: {reportedLoad: 0}},
	},
];

const allPolicies = ['round-robin', 'two-choices', 'two-joint-choices', `two-joint-choices${hedgeSuffix}`, chosenPolicy, `${chosenPolicy}${hedgeSuffix}`, 'stale-report', centralQueue];
const quickPolicies = ['round-robin', chosenPolicy, centralQueue];
const quickConditions = new Set(['steady 85%', 'noisy 70%']);

type Measured = {
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	readonly unanswered: number;
	readonly largest: number;
	/** Share of requests that the first server got, over the even share. */
	readonly firstShare: number;
};

function getDocument(policy: string): unknown {
	return {
		zones: [{name: 'north'}, {name: 'south'}, {name: 'east'}],
		services: [{
			name: 'catalogue', policy: policy.replace(hedgeSuffix, ''), hedgeRatio: policy.endsWith(hedgeSuffix) ? 0.05 : 0, deadlineMilliseconds: 5000, queueLength: 5000, easing: {initialSlots: 6},
		}],
	};
}

async function measure(testBed: TestBed, standIns: readonly StandInProcess[], options: {readonly policy: string; readonly rate: number; readonly seconds: number; readonly seed: number}): Promise<Measured> {
	const urls = testBed.getEntryUrls('/');
	const targets = options.policy === centralQueue ? [urls[0]!] : urls;
	for (const standIn of standIns) {
		await testBed.callStandIn(standIn, {verb: 'reset'});
	}

	const results: LoadResult[] = await Promise.all(Array.from({length: loadProcesses}, async (_, index) => runLoadProcess({
		targets, requestsPerSecond: options.rate / loadProcesses, seconds: options.seconds, seed: (options.seed * 10) + index,
	})));
	const reports = await Promise.all(standIns.map(async standIn => testBed.callStandIn(standIn)));
	const all = reports.flatMap(report => report.servers);
	const arrived = all.reduce((sum, server) => sum + server.arrived, 0);
	const good = results.reduce((sum, result) => sum + (result.statuses['200'] ?? 0), 0);
	const sent = results.reduce((sum, result) => sum + result.sent, 0);
	return {
		p50: Math.max(...results.map(result => result.p50)),
		p99: Math.max(...results.map(result => result.p99)),
		p999: Math.max(...results.map(result => result.p999)),
		unanswered: (sent - good) / sent,
		largest: Math.max(...all.map(server => server.largest)),
		firstShare: (all.find(server => server.name === 'catalogue-1')?.arrived ?? 0) / arrived * servers,
	};
}

/**
 * Runs the bench.
 * @param options - Seed, policies and length.
 */
export async function runChoice(options: BenchOptions): Promise<BenchReport> {
	const testBed = await startTestBed(1, options.entries ?? ordinaryEntries, options.exchangeMilliseconds === undefined ? {} : {exchangeMilliseconds: options.exchangeMilliseconds});
	const chosen = options.isQuick ? quickPolicies : allPolicies;
	const policies = options.policies.length > 0 ? options.policies : chosen;
	const rounds = options.isQuick ? 1 : 3;
	const seconds = options.isQuick ? 2 : 5;
	const rows: BenchRow[] = [];
	const medians = new Map<string, Measured>();
	try {
		await testBed.applyDocument(getDocument('two-joint-choices'));
		const announceTo = testBed.cluster.controls.map(member => `http://127.0.0.1:${member.adminPort}`).join(',');
		const perProcess = servers / serverProcesses;
		const standIns = await Promise.all(Array.from({length: serverProcesses}, async (_, index) => testBed.startStandIn([
			'server', '--count', String(perProcess), '--first', String((index * perProcess) + 1), '--slots', String(slots), '--mean', String(meanMilliseconds), '--zones', 'north,south,east', '--announce', announceTo, '--seed', String(options.seed),
		])));
		await testBed.warmUpServers(servers, '/');
		for (const condition of conditions) {
			if (!isWanted(condition.name, options)) {
				continue;
			}

			for (const standIn of standIns) {
				await testBed.callStandIn(standIn, restore);
				await testBed.callStandIn(standIn, condition.order);
			}

			if (condition.firstOrder !== undefined) {
				await testBed.callStandIn(standIns[0]!, condition.firstOrder);
			}

			const measured = new Map<string, Measured[]>();
			for (let round = 0; round < rounds; round++) {
				for (const policy of policies) {
					await testBed.applyDocument(getDocument(policy));
					await delay(settleMilliseconds);
					const result = await measure(testBed, standIns, {
						policy, rate: capacityPerSecond * condition.share, seconds, seed: options.seed + round,
					});
					measured.set(policy, [...measured.get(policy) ?? [], result]);
				}
			}

			for (const [policy, results] of measured) {
				const median = getMedianOf(results);
				medians.set(`${condition.name} ${policy}`, median);
				rows.push({condition: condition.name, policy, ...median});
			}
		}
	} finally {
		await testBed.stop();
	}

	return {
		bench: 'choice', seed: options.seed, rows, targets: getTargets(medians),
	};
}

function isWanted(condition: string, options: BenchOptions): boolean {
	return options.conditions.length > 0 ? options.conditions.includes(condition) : !options.isQuick || quickConditions.has(condition);
}

function getMedianOf(results: readonly Measured[]): Measured {
	const pick = (field: keyof Measured): number => getMedian(results.map(result => result[field]));
	return {
		p50: pick('p50'), p99: pick('p99'), p999: pick('p999'), unanswered: pick('unanswered'), largest: pick('largest'), firstShare: pick('firstShare'),
	};
}

function getTargets(medians: ReadonlyMap<string, Measured>): readonly BenchTarget[] {
	const targets: BenchTarget[] = [];
	function compare(name: string, bound: number, measured: string, baseline: string): void {
		const own = medians.get(measured)?.p99;
		const other = medians.get(baseline)?.p99;
		if (own !== undefined && other !== undefined) {
			targets.push(atMost(name, bound, own / other));
		}
	}

	compare('p99 with noise at 70% over round robin\'s', 0.5, `noisy 70% ${chosenPolicy}`, 'noisy 70% round-robin');
	compare('p99 with noise at 70% over the central queue\'s', 1.25, `noisy 70% ${chosenPolicy}`, `noisy 70% ${centralQueue}`);
	compare('p99 steady at 85% over the central queue\'s', 1.1, `steady 85% ${chosenPolicy}`, `steady 85% ${centralQueue}`);
	compare('p99 with hedges and noise at 70% over the central queue\'s without', 1, `noisy 70% ${chosenPolicy}${hedgeSuffix}`, `noisy 70% ${centralQueue}`);
	const failing = medians.get(`fail-fast 50% ${chosenPolicy}`);
	if (failing !== undefined) {
		targets.push(atMost('requests at a fail-fast server over its even share', 1, failing.firstShare));
	}

	return targets;
}
