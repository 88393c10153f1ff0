/**
 * What control and measuring cost: three control hosts, fifteen entries and 35
 * servers on one machine, first without calls, then with a load through every entry.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type Member} from '../stand-in/cluster.js';
import {
	atMost, type BenchOptions, type BenchReport, type BenchRow, type BenchTarget,
} from './report.js';
import {
	runLoadProcess, startTestBed, type TestBed, type StandInProcess,
} from './test-bed.js';

const servers = 35;
const entries = 15;
const probeBudget = 20;
const loadPerSecond = 300;

type Cost = {readonly role: string; readonly share: number; readonly megabytes: number};

async function measureCost(testBed: TestBed, members: readonly Member[], run: () => Promise<void>): Promise<readonly Cost[]> {
	const before = members.map(member => testBed.getUsage(member));
	const startedAt = Date.now();
	await run();
	const seconds = (Date.now() - startedAt) / 1000;
	return members.map((member, index) => {
		const after = testBed.getUsage(member);
		return {role: member.kind, share: (after.cpuSeconds - before[index]!.cpuSeconds) / seconds, megabytes: after.residentMegabytes};
	});
}

function summarize(condition: string, costs: readonly Cost[], probes: number): readonly BenchRow[] {
	return ['control', 'entry'].map(role => {
		const own = costs.filter(cost => cost.role === role);
		return {
			condition,
			role,
			processes: own.length,
			meanCorePercent: own.reduce((sum, cost) => sum + cost.share, 0) / own.length * 100,
			largestCorePercent: Math.max(...own.map(cost => cost.share)) * 100,
			largestMegabytes: Math.max(...own.map(cost => cost.megabytes)),
			probesPerSecond: probes,
		};
	});
}

async function countProbes(testBed: TestBed, standIns: readonly StandInProcess[]): Promise<number> {
	const reports = await Promise.all(standIns.map(async standIn => testBed.callStandIn(standIn)));
	return reports.reduce((sum, report) => sum + report.probes, 0);
}

/**
 * Runs the bench.
 * @param options - Seed and length.
 */
export async function runCost(options: BenchOptions): Promise<BenchReport> {
	const testBed = await startTestBed(3, entries);
	const seconds = options.isQuick ? 8 : 20;
	const rows: BenchRow[] = [];
	const targets: BenchTarget[] = [];
	try {
		await testBed.applyDocument({
			zones: [{name: 'north'}, {name: 'south'}, {name: 'east'}],
			services: [{name: 'catalogue', easing: {initialSlots: 6}}],
			measuring: {probesPerSecondPerServer: 1, probesPerSecond: probeBudget},
		});
		const announceTo = testBed.cluster.entries.map(member => `http://127.0.0.1:${member.adminPort}`).join(',');
		const standIns = [
			await testBed.startStandIn(['server', '--count', '20', '--zones', 'north,south,east', '--announce', announceTo, '--seed', String(options.seed)]),
			await testBed.startStandIn(['server', '--count', '15', '--first', '21', '--zones', 'north,south,east', '--announce', announceTo, '--seed', String(options.seed)]),
		];
		await testBed.warmUpServers(servers, '/');
		const members = [...testBed.cluster.controls, ...testBed.cluster.entries];
		const conditions: ReadonlyArray<readonly [string, () => Promise<void>]> = [
			['no calls', async () => delay(seconds * 1000)],
			['calls', async () => {
				await runLoadProcess({
					targets: testBed.getEntryUrls('/'), requestsPerSecond: loadPerSecond, seconds, seed: options.seed,
				});
			}],
		];
		for (const [condition, run] of conditions) {
			const probesBefore = await countProbes(testBed, standIns);
			const startedAt = Date.now();
			const costs = await measureCost(testBed, members, run);
			const probes = (await countProbes(testBed, standIns) - probesBefore) / (Date.now() - startedAt) * 1000;
			rows.push(...summarize(condition, costs, probes));
			targets.push(atMost(`probes a second, ${condition}`, probeBudget, probes));
			if (condition === 'no calls') {
				const entryCosts = costs.filter(cost => cost.role === 'entry');
				targets.push(
					atMost('processor time of an idle entry in percent of a core', 1.5, entryCosts.reduce((sum, cost) => sum + cost.share, 0) / entryCosts.length * 100),
					atMost('resident memory of an idle entry in MB', 128, Math.max(...entryCosts.map(cost => cost.megabytes))),
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
