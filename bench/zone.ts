/**
 * Takes a zone out of service under load and puts it back with all of its servers cold. The sizes are those of the materials
 * service: twelve servers with four slots in four zones, twelve entries and three control hosts. The network latency of 10 ms between
 * callers and entries is not simulated.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type LoadResult} from '../source/program/load.js';
import {
	createMaximumTarget, type BenchOptions, type BenchReport, type BenchRow, type BenchTarget,
} from './report.js';
import {
	runLoadProcess, startTestBed, type LoadOptions, type TestBed, type StandInProcess, type StandInReport,
} from './test-bed.js';

const zones = ['north', 'south', 'east', 'west'];

/** Zone that is taken out of service and put back. */
const zoneUnderTest = 'south';

const serverCount = 12;
const slotsPerServer = 4;
const defaultEntryCount = 12;
const meanServiceMilliseconds = 60;
const capacityRequestsPerSecond = serverCount * slotsPerServer * 1000 / meanServiceMilliseconds;
const loadShare = 0.6;
const loadProcessCount = 2;

/** Additional duration of the load during the departure, which also covers the application of the document. */
const additionalDepartureLoadMilliseconds = 5000;

/** Time from the acceptance of the document after which no request may reach the zone, provided that no link is cut. */
const maximumDepartureMilliseconds = 500;

const easings = [{name: 'by success', growthPerSuccess: 0.1}, {name: 'slow', growthPerSuccess: 0.02}] as const;

type Easing = (typeof easings)[number];

function createDocument(isInService: boolean, easing: Easing): unknown {
	return {
		zones: zones.map(name => ({name, inService: isInService || name !== zoneUnderTest})),
		services: [{name: 'catalogue', deadlineMilliseconds: 5000, easing: {initialSlots: 1, growthPerSuccess: easing.growthPerSuccess}}],
	};
}

/** Gets the names of the servers in the zone under test. Stand-in servers are assigned to the zones in turn by their numbers. */
function getServersUnderTest(): readonly string[] {
	return Array.from({length: serverCount}, (_, index) => index + 1).filter(number => zones[number % zones.length] === zoneUnderTest).map(number => `catalogue-${number}`);
}

async function runLoad(testBed: TestBed, seconds: number, seed: number): Promise<readonly LoadResult[]> {
	return Promise.all(Array.from({length: loadProcessCount}, async (_, index) => runLoadProcess({
		targets: testBed.getEntryUrls('/'), requestsPerSecond: capacityRequestsPerSecond * loadShare / loadProcessCount, seconds, seed: (seed * 10) + index, warmUpSeconds: 0,
	} satisfies LoadOptions)));
}

function summarize(phase: string, easing: Easing, results: readonly LoadResult[]): BenchRow {
	const sent = results.reduce((sum, result) => sum + result.sent, 0);
	return {
		phase,
		easing: easing.name,
		sent,
		unanswered: sent - results.reduce((sum, result) => sum + (result.statuses['200'] ?? 0), 0),
		p50: Math.max(...results.map(result => result.p50)),
		p99: Math.max(...results.map(result => result.p99)),
	};
}

function sumOverZoneUnderTest(report: StandInReport, getCount: (server: StandInReport['servers'][number]) => number): number {
	const serverNames = new Set(getServersUnderTest());
	return report.servers.filter(server => serverNames.has(server.name)).reduce((sum, server) => sum + getCount(server), 0);
}

/** Waits until every server is warm. Gets the elapsed time in milliseconds, or -1 after the timeout. */
async function waitForWarmServers(testBed: TestBed, timeoutMilliseconds: number): Promise<number> {
	const startedAt = Date.now();
	while (Date.now() - startedAt < timeoutMilliseconds) {
		const status = await testBed.cluster.getStatus();
		if (status?.servers.every(server => server.state === 'warm' && !server.isAbsent)) {
			return Date.now() - startedAt;
		}

		await delay(100);
	}

	return -1;
}

/** Measures a departure and a return of the zone with the given easing. */
async function measureEasing(
	testBed: TestBed,
	standIn: StandInProcess,
	easing: Easing,
	options: {readonly seconds: number; readonly seed: number},
): Promise<{readonly rows: readonly BenchRow[]; readonly targets: readonly BenchTarget[]}> {
	const {seconds, seed} = options;
	await testBed.applyDocument(createDocument(true, easing));
	const beforeResults = await runLoad(testBed, seconds, seed);
	// The zone is taken out of service while the load is running.
	const departureLoad = runLoad(testBed, seconds + (additionalDepartureLoadMilliseconds / 1000), seed + 1);
	await delay(500);
	const acceptedAt = await testBed.applyDocument(createDocument(false, easing));
	await delay(Math.max(0, acceptedAt + maximumDepartureMilliseconds - Date.now()));
	// Only requests that arrive after this time count as late.
	await testBed.callStandIn(standIn, {verb: 'reset'});
	const departureResults = await departureLoad;
	const lateArrivalCount = sumOverZoneUnderTest(await testBed.callStandIn(standIn), server => server.arrived);
	// The servers of the zone restart cold.
	await testBed.callStandIn(standIn, {servers: getServersUnderTest(), verb: 'crash'});
	await testBed.callStandIn(standIn, {servers: getServersUnderTest(), verb: 'restart'});
	await delay(1500);
	await testBed.callStandIn(standIn, {verb: 'reset'});
	// The zone is put back into service while the load is running.
	const returnLoad = runLoad(testBed, seconds * 2, seed + 2);
	await delay(500);
	await testBed.applyDocument(createDocument(true, easing));
	const warmMilliseconds = await waitForWarmServers(testBed, seconds * 2000);
	const returnResults = await returnLoad;
	const overloadCount = sumOverZoneUnderTest(await testBed.callStandIn(standIn), server => server.overloads);
	const rows = [
		summarize('before', easing, beforeResults),
		summarize('zone leaves', easing, departureResults),
		{...summarize('zone returns cold', easing, returnResults), warmMilliseconds, overloads: overloadCount},
	];
	return {
		rows, targets: [
			createMaximumTarget(`requests without a 200 response while the zone leaves and returns, easing ${easing.name}`, 0, rows.reduce((sum, row) => sum + Number(row.unanswered), 0)),
			createMaximumTarget(`requests to the zone more than 0.5 s after it left, easing ${easing.name}`, 0, lateArrivalCount),
			createMaximumTarget(`requests beyond the capacity of a cold server, easing ${easing.name}`, 0, overloadCount),
		],
	};
}

/**
 * Measures the departure of a zone and its return, with each easing.
 * @param options - Seed, number of entries and whether to measure only the first easing.
 */
export async function runZone(options: BenchOptions): Promise<BenchReport> {
	const testBed = await startTestBed(3, options.entryCount ?? defaultEntryCount);
	const rows: BenchRow[] = [];
	const targets: BenchTarget[] = [];
	try {
		await testBed.applyDocument(createDocument(true, easings[0]));
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
			zones.join(','),
			'--announce',
			announceTo,
			'--seed',
			String(options.seed),
		]);
		await testBed.warmUpServers(serverCount, '/');
		for (const easing of options.isQuick ? easings.slice(0, 1) : easings) {
			const measurement = await measureEasing(testBed, standIn, easing, {seconds: options.isQuick ? 3 : 8, seed: options.seed});
			rows.push(...measurement.rows);
			targets.push(...measurement.targets);
		}
	} finally {
		await testBed.stop();
	}

	return {
		bench: 'zone', seed: options.seed, rows, targets,
	};
}
