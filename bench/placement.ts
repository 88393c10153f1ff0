/** Replays placement over zones and among workspaces in virtual time: `npm run bench -- placement [--seed N] [--conditions NAMES] [--quick]`. */
import {
	simulatePlacement, type ModelWorkspace, type ModelZone, type PlacementOptions, type PlacementResult, type RequestCounts,
} from '../stand-in/model/placement.js';
import {type BenchOptions, type BenchReport, type BenchRow} from './report.js';

const seedsPerCondition = 2;
const seedDistance = 1000;

/** Requests a second that a server of two slots can process, with a service time of 110 ms and slow hosts. */
const smallServerPerSecond = 8.55;

/** The same for a server of six slots, filled to the knee, with a service time of 220 ms. */
const largeServerPerSecond = 4 / 0.22 * 0.8;

const workspaceCount = 87;
const hotName = 'w2';
const hotFactor = 10;
const hotFrom = 2000;
const hotUntil = 8000;
const knownMilliseconds = 1500;

type Condition = Omit<PlacementOptions, 'seed'>;

function createZones(servers: readonly number[], entries: readonly number[], shares: readonly number[] = [1, 1, 1]): readonly ModelZone[] {
	return ['north', 'south', 'east'].map((name, index) => ({
		name, servers: servers[index]!, entries: entries[index]!, share: shares[index]!,
	}));
}

function createSmall(requestsPerSecond: number, zones: readonly ModelZone[], changes: Partial<Condition> = {}): Condition {
	return {
		zones,
		kinds: [
			{
				name: 'pay', share: 0.3, serviceMilliseconds: 75, targetMilliseconds: 200, priority: 0,
			},
			{
				name: 'look', share: 0.7, serviceMilliseconds: 110, targetMilliseconds: 400, priority: 1,
			},
		],
		getRequestsPerSecond: () => requestsPerSecond,
		arrivalMilliseconds: 8000,
		slots: 2,
		queueLength: 4,
		hangsWhenFull: true,
		...changes,
	};
}

const small = 72 * smallServerPerSecond;
const evenZones = createZones([24, 24, 24], [16, 16, 16]);
const unevenZones = createZones([30, 30, 12], [16, 16, 16], [1, 1, 2]);

function createLarge(load: number): Condition {
	return createSmall(27 * largeServerPerSecond * load, createZones([9, 9, 9], [16, 16, 17]), {
		slots: 6,
		queueLength: 12,
		hangsWhenFull: false,
		kinds: [{
			name: 'thumb', share: 1, serviceMilliseconds: 220, targetMilliseconds: 600, priority: 0,
		}],
	});
}

/** Creates a load of 0.6 in which one workspace sends ten times as much for a time, and the entries know it or not. */
function createHot(isKnown: boolean): Condition {
	const workspaces: readonly ModelWorkspace[] = Array.from({length: workspaceCount}, (_, index) => ({
		name: `w${index + 1}`,
		keyDigests: [String(index).padStart(64, '0')],
		getWeight: now => ((index + 1) ** -1.2) * (`w${index + 1}` === hotName && now >= hotFrom && now < hotUntil ? hotFactor : 1),
	}));
	const getWeight = (now: number): number => workspaces.reduce((sum, workspace) => sum + workspace.getWeight(now), 0);
	return createSmall(0, evenZones, {
		workspaces,
		arrivalMilliseconds: 10_000,
		getRequestsPerSecond: now => small * 0.6 * getWeight(now) / getWeight(0),
		getAboveShare: now => new Set(isKnown && now >= hotFrom + knownMilliseconds && now < hotUntil + knownMilliseconds ? [hotName] : []),
	});
}

const conditions: Readonly<Record<string, Condition>> = {
	'even-0.28': createSmall(small * 0.28, evenZones),
	'even-0.5': createSmall(small * 0.5, evenZones),
	'even-0.75': createSmall(small * 0.75, evenZones),
	full: createSmall(small, evenZones),
	twice: createSmall(small * 2, evenZones),
	'uneven-0.5': createSmall(small * 0.5, unevenZones),
	'uneven-0.75': createSmall(small * 0.75, unevenZones),
	'zone-gone': createSmall(small * 0.5, evenZones, {getWithdrawals: index => index < 24 ? [{kind: 'leaving', from: 3000, until: 3000}] : []}),
	'third-gone': createSmall(small * 0.75, evenZones, {getWithdrawals: index => index % 3 === 0 ? [{kind: 'leaving', from: 3000, until: 3000}] : []}),
	'a-930': createSmall(930, createZones([73, 72, 72], [48, 47, 47]), {arrivalMilliseconds: 6000}),
	'a-930-uneven': createSmall(930, createZones([100, 90, 27], [48, 47, 47], [1, 1, 2]), {arrivalMilliseconds: 6000}),
	'narrow-full': createSmall(36 * smallServerPerSecond, createZones([16, 16, 4], [47, 47, 48], [1, 1, 4]), {arrivalMilliseconds: 6000}),
	'six-slots-0.6': createLarge(0.6),
	'six-slots-full': createLarge(1),
	'six-slots-twice': createLarge(2),
	'hot-unknown': createHot(false),
	'hot-known': createHot(true),
};

const quickConditions = ['even-0.28', 'even-0.5', 'uneven-0.5', 'six-slots-0.6'];

function sum(results: readonly PlacementResult[], get: (result: PlacementResult) => number): number {
	return results.reduce((total, result) => total + get(result), 0);
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}

function getInTimeShare(counts: ReadonlyArray<RequestCounts | undefined>): number {
	const present = counts.filter(count => count !== undefined);
	return round(present.reduce((total, {inTime}) => total + inTime, 0) / present.reduce((total, {requests}) => total + requests, 0));
}

function createRow(condition: string, results: readonly PlacementResult[]): BenchRow {
	const requests = sum(results, ({total}) => total.requests);
	const ofOthers = results.flatMap(({byWorkspace}) => Object.entries(byWorkspace).filter(([name]) => name !== hotName).map(([, counts]) => counts));
	return {
		condition,
		requests,
		inTime: getInTimeShare(results.map(({total}) => total)),
		...Object.fromEntries(Object.keys(results[0]!.byKind).map(kind => [kind, getInTimeShare(results.map(({byKind}) => byKind[kind]))])),
		...(ofOthers.length === 0 ? {} : {others: getInTimeShare(ofOthers), hot: getInTimeShare(results.map(({byWorkspace}) => byWorkspace[hotName]))}),
		served: round(sum(results, ({total}) => total.served) / requests),
		queries: round(sum(results, ({queries}) => queries.ownZone + queries.otherZone) / requests),
		otherZoneQueries: round(sum(results, ({queries}) => queries.otherZone) / requests),
		otherZoneAttempts: round(sum(results, ({attempts}) => attempts.otherZone) / requests),
		overfilled: sum(results, ({overfilled}) => overfilled),
		unanswered: sum(results, ({unanswered}) => unanswered),
	};
}

/**
 * Runs the bench.
 * @param options - Seed and conditions.
 */
export async function runPlacement(options: BenchOptions): Promise<BenchReport> {
	const defaults = options.isQuick ? quickConditions : Object.keys(conditions);
	const rows: BenchRow[] = [];
	for (const name of options.conditions.length > 0 ? options.conditions.filter(condition => condition in conditions) : defaults) {
		const results: PlacementResult[] = [];
		for (let run = 0; run < seedsPerCondition; run++) {
			results.push(await simulatePlacement({...conditions[name]!, seed: options.seed + (run * seedDistance)}));
		}

		rows.push(createRow(name, results));
	}

	return {
		bench: 'placement', seed: options.seed, rows, targets: [],
	};
}
