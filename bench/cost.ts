/**
 * Measures the processor time, memory and probes of three control hosts and fifteen entries with 35 servers on one machine, first
 * without requests and then with a load on every entry.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type Member} from '../stand-in/cluster.js';
import {
	createMaximumTarget, type BenchOptions, type BenchReport, type BenchRow, type BenchTarget,
} from './report.js';
import {
	runLoadProcess, startTestBed, type TestBed, type StandInProcess,
} from './test-bed.js';

const serverCount = 35;
const entryCount = 15;

/** Maximum number of probes per second by all entries together, as set in the document. */
const maximumProbesPerSecond = 20;

const loadRequestsPerSecond = 300;

/** Processor time, as a share of a core, and memory of a process. */
type ProcessCost = {readonly role: string; readonly coreShare: number; readonly residentMegabytes: number};

async function measureCosts(testBed: TestBed, members: readonly Member[], runCondition: () => Promise<void>): Promise<readonly ProcessCost[]> {
	const usagesBefore = members.map(member => testBed.getUsage(member));
	const startedAt = Date.now();
	await runCondition();
	const seconds = (Date.now() - startedAt) / 1000;
	return members.map((member, index) => {
		const usageAfter = testBed.getUsage(member);
		return {role: member.kind, coreShare: (usageAfter.cpuSeconds - usagesBefore[index]!.cpuSeconds) / seconds, residentMegabytes: usageAfter.residentMegabytes};
	});
}

function summarize(condition: string, costs: readonly ProcessCost[], probesPerSecond: number): readonly BenchRow[] {
	return ['control', 'entry'].map(role => {
		const roleCosts = costs.filter(cost => cost.role === role);
		return {
			condition,
			role,
			processes: roleCosts.length,
			meanCorePercent: roleCosts.reduce((sum, cost) => sum + cost.coreShare, 0) / roleCosts.length * 100,
			largestCorePercent: Math.max(...roleCosts.map(cost => cost.coreShare)) * 100,
			largestMegabytes: Math.max(...roleCosts.map(cost => cost.residentMegabytes)),
			probesPerSecond,
		};
	});
}

async function countProbes(testBed: TestBed, standIns: readonly StandInProcess[]): Promise<number> {
	const reports = await Promise.all(standIns.map(async standIn => testBed.callStandIn(standIn)));
	return reports.reduce((sum, report) => sum + report.probes, 0);
}

/**
 * Measures the processes at rest and under load.
 * @param options - Seed and whether to measure for a shorter time.
 */
export async function runCost(options: BenchOptions): Promise<BenchReport> {
	const testBed = await startTestBed(3, entryCount);
	const seconds = options.isQuick ? 8 : 20;
	const rows: BenchRow[] = [];
	const targets: BenchTarget[] = [];
	try {
		await testBed.applyDocument({
			zones: [{name: 'north'}, {name: 'south'}, {name: 'east'}],
			services: [{name: 'catalogue', easing: {initialSlots: 6}}],
			measuring: {probesPerSecondPerServer: 1, probesPerSecond: maximumProbesPerSecond},
		});
		const announceTo = testBed.cluster.entries.map(member => `http://127.0.0.1:${member.adminPort}`).join(',');
		const standIns = [
			await testBed.startStandIn(['server', '--count', '20', '--zones', 'north,south,east', '--announce', announceTo, '--seed', String(options.seed)]),
			await testBed.startStandIn(['server', '--count', '15', '--first', '21', '--zones', 'north,south,east', '--announce', announceTo, '--seed', String(options.seed)]),
		];
		await testBed.warmUpServers(serverCount, '/');
		const members = [...testBed.cluster.controls, ...testBed.cluster.entries];
		const conditions: ReadonlyArray<readonly [string, () => Promise<void>]> = [
			['no calls', async () => delay(seconds * 1000)],
			['calls', async () => {
				await runLoadProcess({
					targets: testBed.getEntryUrls('/'), requestsPerSecond: loadRequestsPerSecond, seconds, seed: options.seed,
				});
			}],
		];
		for (const [condition, run] of conditions) {
			const probesBefore = await countProbes(testBed, standIns);
			const startedAt = Date.now();
			const costs = await measureCosts(testBed, members, run);
			const probesPerSecond = (await countProbes(testBed, standIns) - probesBefore) / (Date.now() - startedAt) * 1000;
			rows.push(...summarize(condition, costs, probesPerSecond));
			targets.push(createMaximumTarget(`probes per second, ${condition}`, maximumProbesPerSecond, probesPerSecond));
			if (condition === 'no calls') {
				const entryCosts = costs.filter(cost => cost.role === 'entry');
				targets.push(
					createMaximumTarget('mean processor time of an idle entry, in percent of a core', 1.5, entryCosts.reduce((sum, cost) => sum + cost.coreShare, 0) / entryCosts.length * 100),
					createMaximumTarget('largest resident memory of an idle entry, in MB', 128, Math.max(...entryCosts.map(cost => cost.residentMegabytes))),
				);
			}
		}

		return {
			bench: 'cost', seed: options.seed, rows, targets,
		};
	} finally {
		await testBed.stop();
	}
}
