import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema} from '../../announcement/index.js';
import {
	createCandidate, createCandidatePools, createZoneRoom, type Candidate, type LoadReading,
} from '../../choice/index.js';
import {documentSchema} from '../../configuration/index.js';
import {createAdmissionThrottle, createShortageEstimate, createWorkspaceService} from '../../limits/index.js';
import {createRandom} from '../../randomness/index.js';
import {type RequestContext} from '../requests/index.js';
import {type ServiceState} from '../fleet/index.js';
import {createRouter} from '../routing/index.js';
import {createServerSelector, type ServerSelector} from './server-selector.js';

/** Target latency of the route. A request may wait for an eighth of it, which must be much longer than a turn of a busy event loop. */
const targetMilliseconds = 3200;

const free: LoadReading = {
	running: 1, waiting: 0, slots: 6, slowness: 1,
};
const slow: LoadReading = {...free, slowness: 5};
const full: LoadReading = {...free, running: 6, waiting: 3};
const beyondKnee: LoadReading = {...free, running: 5};

describe('createServerSelector', () => {
	/** Creates a selector whose servers all reply at once; the first half of them are in the own zone. */
	function create(readings: readonly LoadReading[], earlierPlacements: number): {readonly selector: ServerSelector; readonly queried: number[]} {
		const queried: number[] = [];
		const candidates: Candidate[] = readings.map((_, index) => createCandidate(index + 1, announcementSchema.parse({
			service: 'stock', name: `s${index + 1}`, host: '127.0.0.1', port: 1, zone: index < readings.length / 2 ? 'north' : 'south', slots: 6, connections: 100, boot: 'b', state: 'warm',
		}), 'warm'));
		const {services, routes} = documentSchema.parse({
			zones: [{name: 'north'}], services: [{name: 'stock', askedCandidates: 3}], routes: [{
				name: 'look', parts: [{service: 'stock', weight: 1}], isIdempotent: true, timeoutMilliseconds: 8000, targetMilliseconds, attempts: 2,
			}],
		});
		const queryBudget = {
			take: (wanted: number) => wanted,
			giveBack() {
				// The budget is not limited here.
			},
		};
		const loadQuerier = {
			query(query: {readonly candidates: readonly Candidate[]; onReadings(replies: ReadonlyArray<{readonly candidate: Candidate; readonly reading: LoadReading}>): void}) {
				queried.push(...query.candidates.map(({id}) => id));
				setImmediate(() => {
					query.onReadings(query.candidates.map(candidate => ({candidate, reading: readings[candidate.id - 1]!})));
				});
				return () => undefined;
			},
		};
		const context = {
			zone: 'north', random: createRandom(1), queryBudget, loadQuerier, getWorkspaces: () => undefined, isAboveShare: () => false,
		} as unknown as RequestContext;
		const shortageEstimate = createShortageEstimate();
		for (let placement = 0; placement < earlierPlacements; placement++) {
			shortageEstimate.recordPlacement(false, 0);
		}

		const state = {
			getCandidates: () => candidates,
			getPools: () => createCandidatePools({candidates, subset: undefined}),
			zoneRoom: createZoneRoom(),
			getService: () => services[0]!,
			shortageEstimate,
			workspaceService: createWorkspaceService(),
			aboveShareThrottle: createAdmissionThrottle(),
			lowPriorityThrottle: createAdmissionThrottle(),
		} as unknown as ServiceState;
		const route = createRouter(services, routes).get('any', '/1')!;
		const selector = createServerSelector({
			context, state, route, rank: route, access: {kind: 'open'}, excluded: new Set(), avoidedZones: new Set(), isLate: false, recordDecision() {
				// Decisions are ignored here.
			},
		});
		return {selector, queried};
	}

	type Expected = {readonly id: number | undefined; readonly queries: number};

	/** Selects a server, and checks it and the number of queries until then. */
	async function doTest(readings: readonly LoadReading[], expected: Expected, isHedge = false, earlierPlacements = 0): Promise<void> {
		const {selector, queried} = create(readings, earlierPlacements);
		const candidate = await new Promise<Candidate | undefined>(resolve => {
			if (isHedge) {
				selector.selectForHedge(resolve);
			} else {
				selector.select(resolve);
			}
		});
		expect({id: candidate?.id, queries: queried.length}).toEqual(expected);
	}

	test('queries one server if it is fast and in the own zone', async () => {
		const {selector, queried} = create([free, free, free, free, free, free], 0);
		const candidate = await new Promise<Candidate | undefined>(resolve => {
			selector.select(resolve);
		});
		expect([candidate!.id <= 3, queried]).toEqual([true, [candidate!.id]]);
	});
	test('selects a fast server in the own zone', async () => {
		await doTest([slow, free, slow, full, full, full], {id: 2, queries: 2});
	});
	test('prefers a server in the own zone with an acceptable slowdown to a faster one elsewhere', async () => {
		await doTest([slow, {...free, slowness: 2}, full, free, free, free], {id: 2, queries: 3});
	});
	test('queries other servers when those in the own zone are slow or full', async () => {
		await doTest([slow, full, full, full, free, full], {id: 5, queries: 5});
	});
	test('selects a slow server with room when there is no better one', async () => {
		await doTest([slow, full, full, full, full, full], {id: 1, queries: 6});
	});
	test('queries once more after a short wait when no server has room, then selects none', async () => {
		const startedAt = Date.now();
		await doTest([full, full, full, full, full, full], {id: undefined, queries: 9});
		expect(Date.now() - startedAt < targetMilliseconds / 2).toEqual(true);
	});
	test('selects a server beyond its knee in a burst', async () => {
		await doTest([beyondKnee, full, full, full, full, full], {id: 1, queries: 3});
	});
	test('selects no server beyond its knee when many earlier requests found none below it', async () => {
		await doTest([beyondKnee, full, full, full, full, full], {id: undefined, queries: 9}, false, 30);
	});
	test('queries other zones when the queried servers in the own zone have no room', async () => {
		const near = Array.from({length: 6}, () => full);
		const far = Array.from({length: 6}, () => free);
		const {selector, queried} = create([...near, ...far], 0);
		const candidate = await new Promise<Candidate | undefined>(resolve => {
			selector.select(resolve);
		});
		expect([candidate!.id > near.length, queried.length <= 6]).toEqual([true, true]);
	});
	test('selects no slow server for a hedge', async () => {
		await doTest([slow, full, full, full, full, full], {id: undefined, queries: 3}, true);
	});
});
