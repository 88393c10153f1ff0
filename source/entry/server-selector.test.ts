import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema} from '../announcement/index.js';
import {createCandidate, type Candidate, type LoadReading} from '../choice/index.js';
import {documentSchema} from '../configuration/index.js';
import {createShortageEstimate} from '../limits/index.js';
import {createRandom} from '../randomness/index.js';
import {type RequestContext} from './request-handler.js';
import {type ServiceState} from './fleet.js';
import {createServerSelector, type ServerSelector} from './server-selector.js';
import {createRouter} from './router.js';

/** Target of the route: its eighth, for which a request may wait, is much longer than a turn of a busy loop. */
const targetMilliseconds = 3200;

const free: LoadReading = {
	running: 1, waiting: 0, slots: 6, slowness: 1,
};
const slow: LoadReading = {...free, slowness: 5};
const full: LoadReading = {...free, running: 6, waiting: 3};
const beyondKnee: LoadReading = {...free, running: 5};

describe('createPlacement', () => {
	/** Creates a placement on servers all of which answer at once; the first half of them are near. */
	function create(readings: readonly LoadReading[], placementsBefore: number): {readonly placement: ServerSelector; readonly rounds: number[]} {
		const rounds: number[] = [];
		const candidates: Candidate[] = readings.map((_, index) => createCandidate(index + 1, announcementSchema.parse({
			service: 'stock', name: `s${index + 1}`, host: '127.0.0.1', port: 1, zone: index < readings.length / 2 ? 'north' : 'south', slots: 6, connections: 100, boot: 'b', state: 'warm',
		}), 'warm'));
		const {services, routes} = documentSchema.parse({
			zones: [{name: 'north'}], services: [{name: 'stock', askedCandidates: 3}], routes: [{
				name: 'look', parts: [{service: 'stock', weight: 1}], isIdempotent: true, timeoutMilliseconds: 8000, targetMilliseconds, attempts: 2,
			}],
		});
		const context = {
			zone: 'north', random: createRandom(1), questions: {take: (wanted: number) => wanted}, asker: {
				ask(question: {readonly candidates: readonly Candidate[]; answered(asked: ReadonlyArray<{readonly candidate: Candidate; readonly reading: LoadReading}>): void}) {
					rounds.push(question.candidates.length);
					setImmediate(() => {
						question.answered(question.candidates.map(candidate => ({candidate, reading: readings[candidate.id - 1]!})).toSorted((one, other) => one.reading.slowness - other.reading.slowness));
					});
					return () => undefined;
				},
			},
		} as unknown as RequestContext;
		const pressure = createShortageEstimate();
		for (let placed = 0; placed < placementsBefore; placed++) {
			pressure.recordPlacement(false, 0);
		}

		const state = {getCandidates: () => candidates, getService: () => services[0]!, pressure} as unknown as ServiceState;
		const placement = createServerSelector({
			context, state, route: createRouter(services, routes).get('any', '/1')!, excluded: new Set(), avoidedZones: new Set(), isLate: false, recordDecision() {
				// Nobody reads it.
			},
		});
		return {placement, rounds};
	}

	type Expected = {readonly id: number | undefined; readonly rounds: number};

	async function doTest(readings: readonly LoadReading[], expected: Expected, isBeside = false, placementsBefore = 0): Promise<void> {
		const {placement, rounds} = create(readings, placementsBefore);
		const candidate = await new Promise<Candidate | undefined>(resolve => {
			if (isBeside) {
				placement.selectForHedge(resolve);
			} else {
				placement.select(resolve);
			}
		});
		expect({id: candidate?.id, rounds: rounds.length}).toEqual(expected);
	}

	test('takes a near server that is quick', async () => {
		await doTest([slow, free, full, free, free, free], {id: 2, rounds: 1});
	});
	test('takes a near server that is quick enough before a quicker one elsewhere', async () => {
		await doTest([slow, {...free, slowness: 2}, full, free, free, free], {id: 2, rounds: 1});
	});
	test('asks others when the near ones are slow or full', async () => {
		await doTest([slow, full, full, full, free, full], {id: 5, rounds: 2});
	});
	test('takes a slow server with room when there is nothing better', async () => {
		await doTest([slow, full, full, full, full, full], {id: 1, rounds: 2});
	});
	test('asks once more after a short wait, then gives up, when nobody has room', async () => {
		const startedAt = Date.now();
		await doTest([full, full, full, full, full, full], {id: undefined, rounds: 3});
		expect(Date.now() - startedAt < targetMilliseconds / 2).toEqual(true);
	});
	test('takes a server beyond its knee in a burst', async () => {
		await doTest([beyondKnee, full, full, full, full, full], {id: 1, rounds: 1});
	});
	test('fills no server beyond its knee when many requests before found none below it', async () => {
		await doTest([beyondKnee, full, full, full, full, full], {id: undefined, rounds: 3}, false, 30);
	});
	test('looks in other zones when the near servers it asked have no room', async () => {
		const near = Array.from({length: 6}, () => full);
		const far = Array.from({length: 6}, () => free);
		await doTest([...near, ...far], {id: 9, rounds: 2});
	});
	test('starts no second attempt at a slow server', async () => {
		await doTest([slow, full, full, full, full, full], {id: undefined, rounds: 1}, true);
	});
});
