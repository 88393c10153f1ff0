/**
 * A zone leaves under load and comes back with every server of it cold, at the sizes
 * of the materials service: twelve servers of four slots in four zones, twelve
 * entries, three control hosts. Callers' own 10 ms to the entries are left out.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type LoadResult} from '../source/program/load.js';
import {
	atMost, type BenchOptions, type BenchReport, type BenchRow, type BenchTarget,
} from './report.js';
import {
	runLoadProcess, startTestBed, type LoadOptions, type TestBed, type StandInProcess, type StandInReport,
} from './test-bed.js';

const zones = ['north', 'south', 'east', 'west'];
const leavingZone = 'south';
const servers = 12;
const slots = 4;
const entries = 12;
const meanMilliseconds = 60;
const capacityPerSecond = servers * slots * 1000 / meanMilliseconds;
const share = 0.6;
const loadProcesses = 2;
const departureMilliseconds = 5000;

/** Time after acceptance from which no request may reach the zone while no link is cut. */
const uncutDepartureMilliseconds = 500;
const easings = [{name: 'by success', growthPerSuccess: 0.1}, {name: 'slow', growthPerSuccess: 0.02}] as const;

type Easing = (typeof easings)[number];

function getDocument(isIn: boolean, easing: Easing): unknown {
	return {
		zones: zones.map(name => ({name, inService: isIn || name !== leavingZone})),
		services: [{name: 'catalogue', deadlineMilliseconds: 5000, easing: {initialSlots: 1, growthPerSuccess: easing.growthPerSuccess}}],
	};
}

/** Names of the servers in the zone; stand-ins take the zones in turn by their number. */
function getLeaving(): readonly string[] {
	return Array.from({length: servers}, (_, index) => index + 1).filter(number => zones[number % zones.length] === leavingZone).map(number => `catalogue-${number}`);
}

async function load(testBed: TestBed, seconds: number, seed: number): Promise<readonly LoadResult[]> {
	return Promise.all(Array.from({length: loadProcesses}, async (_, index) => runLoadProcess({
		targets: testBed.getEntryUrls('/'), requestsPerSecond: capacityPerSecond * share / loadProcesses, seconds, seed: (seed * 10) + index, warmUpSeconds: 0,
	} satisfies LoadOptions)));
}

function summarize(phase: string, easing: Easing, results: readonly LoadResult[]): BenchRow {
	const sent = results.reduce((sum, result) => sum + result.sent, 0);
	return {
		phase, easing: easing.name, sent, unanswered: sent - results.reduce((sum, result) => sum + (result.statuses['200'] ?? 0), 0), p50: Math.max(...results.map(result => result.p50)), p99: Math.max(...results.map(result => result.p99)),
	};
}

function sumLeaving(report: StandInReport, read: (server: StandInReport['servers'][number]) => number): number {
	const leaving = new Set(getLeaving());
	return report.servers.filter(server => leaving.has(server.name)).reduce((sum, server) => sum + read(server), 0);
}

/** Waits until the zone's servers are warm and gets the milliseconds that it took, or -1. */
async function waitForWarm(testBed: TestBed, limitMilliseconds: number): Promise<number> {
	const startedAt = Date.now();
	while (Date.now() - startedAt < limitMilliseconds) {
		const status = await testBed.cluster.getStatus();
		if (status?.servers.every(server => server.state === 'warm' && !server.isAbsent)) {
			return Date.now() - startedAt;
		}

		await delay(100);
	}

	return -1;
}

async function runRound(testBed: TestBed, standIn: StandInProcess, easing: Easing, options: {readonly seconds: number; readonly seed: number}): Promise<{readonly rows: readonly BenchRow[]; readonly targets: readonly BenchTarget[]}> {
	const {seconds, seed} = options;
	await testBed.applyDocument(getDocument(true, easing));
	const before = await load(testBed, seconds, seed);
	const outPhase = load(testBed, seconds + (departureMilliseconds / 1000), seed + 1);
	await delay(500);
	const acceptedAt = await testBed.applyDocument(getDocument(false, easing));
	await delay(Math.max(0, acceptedAt + uncutDepartureMilliseconds - Date.now()));
	await testBed.callStandIn(standIn, {verb: 'reset'});
	const out = await outPhase;
	const lateArrivals = sumLeaving(await testBed.callStandIn(standIn), server => server.arrived);
	await testBed.callStandIn(standIn, {servers: getLeaving(), verb: 'crash'});
	await testBed.callStandIn(standIn, {servers: getLeaving(), verb: 'restart'});
	await delay(1500);
	await testBed.callStandIn(standIn, {verb: 'reset'});
	const backPhase = load(testBed, seconds * 2, seed + 2);
	await delay(500);
	await testBed.applyDocument(getDocument(true, easing));
	const warmMilliseconds = await waitForWarm(testBed, seconds * 2000);
	const back = await backPhase;
	const overloads = sumLeaving(await testBed.callStandIn(standIn), server => server.overloads);
	const rows = [
		summarize('before', easing, before),
		summarize('zone leaves', easing, out),
		{...summarize('zone returns cold', easing, back), warmMilliseconds, overloads},
	];
	return {
		rows, targets: [
			atMost(`unanswered while the zone leaves and returns, easing ${easing.name}`, 0, rows.reduce((sum, row) => sum + Number(row.unanswered), 0)),
			atMost(`requests at the zone later than 0.5 s after it left, easing ${easing.name}`, 0, lateArrivals),
			atMost(`requests over what a cold server can carry, easing ${easing.name}`, 0, overloads),
		],
	};
}

/**
 * Runs the bench.
 * @param options - Seed and length.
 */
export async function runZone(options: BenchOptions): Promise<BenchReport> {
	const testBed = await startTestBed(3, options.entries ?? entries);
	const rows: BenchRow[] = [];
	const targets: BenchTarget[] = [];
	try {
		await testBed.applyDocument(getDocument(true, easings[0]));
		const announceTo = testBed.cluster.controls.map(member => `http://127.0.0.1:${member.adminPort}`).join(',');
		const standIn = await testBed.startStandIn([
			'server', '--count', String(servers), '--slots', String(slots), '--mean', String(meanMilliseconds), '--zones', zones.join(','), '--announce', announceTo, '--seed', String(options.seed),
		]);
		await testBed.warmUpServers(servers, '/');
		for (const easing of options.isQuick ? easings.slice(0, 1) : easings) {
			const round = await runRound(testBed, standIn, easing, {seconds: options.isQuick ? 3 : 8, seed: options.seed});
			rows.push(...round.rows);
			targets.push(...round.targets);
		}
	} finally {
		await testBed.stop();
	}

	return {
		bench: 'zone', seed: options.seed, rows, targets,
	};
}
