/**
 * Compares the policies under the same arrivals, on real processes: fifteen entries, and ten servers with six slots and a mean
 * service time of 60 ms. That is half of the servers of the catalogue service, so that no process is short of processor time. The
 * central queue runs in a single entry that receives every request, as a reference for the other policies.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type LoadResult} from '../source/program/load.js';
import {
	createMaximumTarget, getMedian, type BenchOptions, type BenchReport, type BenchRow, type BenchTarget,
} from './report.js';
import {
	runLoadProcess, startTestBed, type TestBed, type StandInProcess,
} from './test-bed.js';

const serverCount = 10;
const defaultEntryCount = 15;
const slotsPerServer = 6;
const meanServiceMilliseconds = 60;
const standInProcessCount = 2;
const loadProcessCount = 2;

/** Time between the application of a policy and the load that measures it. */
const settlingMilliseconds = 400;

const capacityRequestsPerSecond = serverCount * slotsPerServer * 1000 / meanServiceMilliseconds;
const centralQueue = 'central-queue';

/** Suffix of a policy's name that enables hedges. */
const hedgeSuffix = '+hedge';

/** Policy of a service whose document names none. */
const defaultPolicy = 'least-in-flight';

/** Load and server behaviour under which the policies are compared. */
type Condition = {
	readonly name: string;
	/** Load as a share of the servers' capacity. */
	readonly loadShare: number;
	/** Command that sets the condition in every server. */
	readonly command: unknown;
	/** Further command that only the first process of stand-in servers receives. */
	readonly firstProcessCommand: unknown;
};

/** Command that ends the previous condition. */
const restoreCommand = {noise: 1, behaviour: {failFastShare: 0, distribution: 'exponential', slowness: 1}};

const conditions: readonly Condition[] = [
	{
		name: 'steady 70%', loadShare: 0.7, command: {}, firstProcessCommand: undefined,
	},
	{
		name: 'steady 85%', loadShare: 0.85, command: {}, firstProcessCommand: undefined,
	},
	{
		name: 'noisy 70%', loadShare: 0.7, command: {noise: 5}, firstProcessCommand: undefined,
	},
	{
		name: 'heavy tail 70%', loadShare: 0.7, command: {behaviour: {distribution: 'pareto'}}, firstProcessCommand: undefined,
	},
	{
		name: 'fail-fast 50%', loadShare: 0.5, command: {}, firstProcessCommand: {servers: ['catalogue-1'], behaviour: {failFastShare: 1}},
	},
	{
		name: 'steady 95%', loadShare: 0.95, command: {}, firstProcessCommand: undefined,
	},
	// Must be last: a command can set the load that a server reports, but cannot unset it.
	{
		name: 'lying 70%', loadShare: 0.7, command: {}, firstProcessCommand: {servers: ['catalogue-1', 'catalogue-2'], behaviour: {reportedLoad: 0}},
	},
];

const allPolicies = ['round-robin', 'two-choices', 'two-joint-choices', `two-joint-choices${hedgeSuffix}`, defaultPolicy, `${defaultPolicy}${hedgeSuffix}`, 'stale-report', centralQueue];
const quickPolicies = ['round-robin', defaultPolicy, centralQueue];
const quickConditions = new Set(['steady 85%', 'noisy 70%']);

/** Results of a policy under a condition. Each percentile is the largest of the load processes, in milliseconds. */
type Measurement = {
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	/** Share of requests without a 200 response. */
	readonly unanswered: number;
	/** Largest number of requests in flight at one server. */
	readonly largest: number;
	/** Share of the requests that the first server received, relative to an even share for every server. */
	readonly firstShare: number;
};

function createDocument(policy: string): unknown {
	return {
		zones: [{name: 'north'}, {name: 'south'}, {name: 'east'}],
		services: [{
			name: 'catalogue',
			policy: policy.replace(hedgeSuffix, ''),
			hedgeRatio: policy.endsWith(hedgeSuffix) ? 0.05 : 0,
			deadlineMilliseconds: 5000,
			queueLength: 5000,
			easing: {initialSlots: 6},
		}],
	};
}

async function measure(
	testBed: TestBed,
	standIns: readonly StandInProcess[],
	options: {readonly policy: string; readonly requestsPerSecond: number; readonly seconds: number; readonly seed: number},
): Promise<Measurement> {
	const urls = testBed.getEntryUrls('/');
	const targets = options.policy === centralQueue ? [urls[0]!] : urls;
	for (const standIn of standIns) {
		await testBed.callStandIn(standIn, {verb: 'reset'});
	}

	const results: LoadResult[] = await Promise.all(Array.from({length: loadProcessCount}, async (_, index) => runLoadProcess({
		targets, requestsPerSecond: options.requestsPerSecond / loadProcessCount, seconds: options.seconds, seed: (options.seed * 10) + index,
	})));
	const reports = await Promise.all(standIns.map(async standIn => testBed.callStandIn(standIn)));
	const servers = reports.flatMap(report => report.servers);
	const totalArrived = servers.reduce((sum, server) => sum + server.arrived, 0);
	const succeeded = results.reduce((sum, result) => sum + (result.statuses['200'] ?? 0), 0);
	const sent = results.reduce((sum, result) => sum + result.sent, 0);
	return {
		p50: Math.max(...results.map(result => result.p50)),
		p99: Math.max(...results.map(result => result.p99)),
		p999: Math.max(...results.map(result => result.p999)),
		unanswered: (sent - succeeded) / sent,
		largest: Math.max(...servers.map(server => server.largest)),
		firstShare: (servers.find(server => server.name === 'catalogue-1')?.arrived ?? 0) / totalArrived * serverCount,
	};
}

/**
 * Compares the selected policies under the selected conditions.
 * @param options - Seed, policies, conditions, number of entries and interval at which they exchange counts.
 */
export async function runChoice(options: BenchOptions): Promise<BenchReport> {
	const testBed = await startTestBed(
		1,
		options.entryCount ?? defaultEntryCount,
		options.exchangeMilliseconds === undefined ? {} : {exchangeMilliseconds: options.exchangeMilliseconds},
	);
	const defaultPolicies = options.isQuick ? quickPolicies : allPolicies;
	const policies = options.policies.length > 0 ? options.policies : defaultPolicies;
	const rounds = options.isQuick ? 1 : 3;
	const seconds = options.isQuick ? 2 : 5;
	const rows: BenchRow[] = [];
	/** Medians by condition and policy. */
	const medians = new Map<string, Measurement>();
	try {
		await testBed.applyDocument(createDocument('two-joint-choices'));
		const announceTo = testBed.cluster.controls.map(member => `http://127.0.0.1:${member.adminPort}`).join(',');
		const serversPerProcess = serverCount / standInProcessCount;
		const standIns = await Promise.all(Array.from({length: standInProcessCount}, async (_, index) => testBed.startStandIn([
			'server',
			'--count',
			String(serversPerProcess),
			'--first',
			String((index * serversPerProcess) + 1),
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
		])));
		await testBed.warmUpServers(serverCount, '/');
		for (const condition of conditions) {
			if (!isSelected(condition.name, options)) {
				continue;
			}

			for (const standIn of standIns) {
				await testBed.callStandIn(standIn, restoreCommand);
				await testBed.callStandIn(standIn, condition.command);
			}

			if (condition.firstProcessCommand !== undefined) {
				await testBed.callStandIn(standIns[0]!, condition.firstProcessCommand);
			}

			const measurementsByPolicy = new Map<string, Measurement[]>();
			for (let round = 0; round < rounds; round++) {
				for (const policy of policies) {
					await testBed.applyDocument(createDocument(policy));
					await delay(settlingMilliseconds);
					const measurement = await measure(testBed, standIns, {
						policy, requestsPerSecond: capacityRequestsPerSecond * condition.loadShare, seconds, seed: options.seed + round,
					});
					measurementsByPolicy.set(policy, [...measurementsByPolicy.get(policy) ?? [], measurement]);
				}
			}

			for (const [policy, measurements] of measurementsByPolicy) {
				const policyMedians = getMedians(measurements);
				medians.set(`${condition.name} ${policy}`, policyMedians);
				rows.push({condition: condition.name, policy, ...policyMedians});
			}
		}
	} finally {
		await testBed.stop();
	}

	return {
		bench: 'choice', seed: options.seed, rows, targets: createTargets(medians),
	};
}

function isSelected(condition: string, options: BenchOptions): boolean {
	return options.conditions.length > 0 ? options.conditions.includes(condition) : !options.isQuick || quickConditions.has(condition);
}

function getMedians(measurements: readonly Measurement[]): Measurement {
	const getFieldMedian = (field: keyof Measurement): number => getMedian(measurements.map(measurement => measurement[field]));
	return {
		p50: getFieldMedian('p50'),
		p99: getFieldMedian('p99'),
		p999: getFieldMedian('p999'),
		unanswered: getFieldMedian('unanswered'),
		largest: getFieldMedian('largest'),
		firstShare: getFieldMedian('firstShare'),
	};
}

function createTargets(medians: ReadonlyMap<string, Measurement>): readonly BenchTarget[] {
	const targets: BenchTarget[] = [];
	/** Adds a target for the ratio between two values of p99, if both were measured. A key is the name of a condition and of a policy. */
	function addP99Target(name: string, bound: number, measuredKey: string, baselineKey: string): void {
		const measuredP99 = medians.get(measuredKey)?.p99;
		const baselineP99 = medians.get(baselineKey)?.p99;
		if (measuredP99 !== undefined && baselineP99 !== undefined) {
			targets.push(createMaximumTarget(name, bound, measuredP99 / baselineP99));
		}
	}

	addP99Target('p99 with noise at 70% load, relative to round robin', 0.5, `noisy 70% ${defaultPolicy}`, 'noisy 70% round-robin');
	addP99Target('p99 with noise at 70% load, relative to the central queue', 1.25, `noisy 70% ${defaultPolicy}`, `noisy 70% ${centralQueue}`);
	addP99Target('p99 at a steady load of 85%, relative to the central queue', 1.1, `steady 85% ${defaultPolicy}`, `steady 85% ${centralQueue}`);
	addP99Target('p99 with hedges and noise at 70% load, relative to the central queue without hedges', 1, `noisy 70% ${defaultPolicy}${hedgeSuffix}`, `noisy 70% ${centralQueue}`);
	const failFast = medians.get(`fail-fast 50% ${defaultPolicy}`);
	if (failFast !== undefined) {
		targets.push(createMaximumTarget('requests at a fail-fast server, relative to its even share', 1, failFast.firstShare));
	}

	return targets;
}
