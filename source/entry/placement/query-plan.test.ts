import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema} from '../../announcement/index.js';
import {
	createCandidate, createCandidatePools, createZoneRoom, defaultAdmission, type Candidate, type LoadReading,
} from '../../choice/index.js';
import {createRandom} from '../../randomness/index.js';
import {createQueryPlan, type QueryPlan} from './query-plan.js';

const free: LoadReading = {
	running: 0, waiting: 0, slots: 2, slowness: 1,
};
const half: LoadReading = {...free, running: 1};
const full: LoadReading = {...free, running: 2};
const slow: LoadReading = {...free, slowness: 5};

/** Reply to a query: a load, or none within the time for a reply, or none at all. */
type Reply = LoadReading | 'late' | 'missing';

type Bed = {
	readonly plan: QueryPlan;
	readonly candidates: readonly Candidate[];
	/** Servers that are queried at once, in the order of the queries. */
	readonly steps: number[];
	/** Lets the plan query servers, which reply in turn. */
	run(replies: readonly Reply[]): void;
};

/** Creates a plan for servers in two zones, in which no larger share of the servers than the given one has room. */
function createBed(share = 1, zoneRoom = createZoneRoom()): Bed {
	const candidates = Array.from({length: 12}, (_, index) => createCandidate(index + 1, announcementSchema.parse({
		service: 'stock', name: `s${index + 1}`, host: '127.0.0.1', port: 1, zone: index < 6 ? 'north' : 'south', slots: 2, connections: 100, boot: 'b', state: 'warm',
	}), 'warm'));
	const steps: number[] = [];
	const plan = createQueryPlan({
		pools: createCandidatePools({candidates, subset: undefined}),
		zoneRoom: {...zoneRoom, getShare: (zone, now) => Math.min(share, zoneRoom.getShare(zone, now))},
		zone: 'north',
		excluded: new Set(),
		avoidedZones: new Set(),
		count: 3,
		maximumCount: 6,
		getAdmission: () => defaultAdmission,
		random: createRandom(5),
	});

	function receive(candidate: Candidate, reply: Reply): void {
		if (reply === 'late') {
			plan.recordDelay(candidate, 0);
		} else if (reply === 'missing') {
			plan.recordDelay(candidate, 0);
			plan.recordMiss(candidate);
		} else {
			plan.recordReading(candidate, reply, 0);
		}
	}

	return {
		plan,
		candidates,
		steps,
		run(replies) {
			const left = [...replies];
			for (let next = plan.getNext(0); next.length > 0; next = plan.isComplete(0) ? [] : plan.getNext(0)) {
				steps.push(next.length);
				for (const candidate of next) {
					receive(candidate, left.shift()!);
				}
			}
		},
	};
}

describe('createQueryPlan', () => {
	type Expected = {
		readonly queries: number;
		readonly isComplete: boolean;
		/** Load of the selected server. */
		readonly best: LoadReading | undefined;
	};

	function doTest(replies: readonly Reply[], expected: Expected): void {
		const bed = createBed();
		bed.run(replies);
		expect({queries: bed.plan.getQueryCount(), isComplete: bed.plan.isComplete(0), best: bed.plan.getBest(0)?.reading}).toEqual(expected);
	}

	test('is complete with the first server that has room and is not slow', () => {
		doTest([free], {queries: 1, isComplete: true, best: free});
		doTest([full, slow, free], {queries: 3, isComplete: true, best: free});
	});
	test('takes a server with an acceptable slowdown after three replies', () => {
		const acceptable = {...free, slowness: 2};
		doTest([half, acceptable, full], {queries: 3, isComplete: true, best: half});
		doTest([acceptable, slow, full], {queries: 3, isComplete: true, best: acceptable});
	});
	test('takes a slow server with room only after six replies', () => {
		doTest([slow, full, full, full, full, full], {queries: 6, isComplete: true, best: slow});
	});
	test('has no server if none has room', () => {
		doTest([full, full, full, full, full, full], {queries: 6, isComplete: true, best: undefined});
	});
	test('queries two or three servers at once where few have room', () => {
		expect([0.6, 0.4, 0.2].map(share => createBed(share).plan.getNext(0).length)).toEqual([1, 2, 3]);
	});
	test('queries another server while a reply is late', () => {
		doTest(['late', free], {queries: 2, isComplete: true, best: free});
	});
	test('awaits late replies before it ends without a server', () => {
		doTest(['late', full, full, full, full, full], {queries: 6, isComplete: false, best: undefined});
	});
	test('ends when replies are missing', () => {
		doTest(['missing', 'missing', 'missing', 'missing', 'missing', 'missing'], {queries: 6, isComplete: true, best: undefined});
	});

	// Guards against requests of several entries for the same free slot, of which all but one would wait at the server.
	test('queries a server again before its last free slot is taken, if its reading is not new', () => {
		const {plan, run, steps, candidates} = createBed();
		run([half, full, full]);
		const selected = plan.getBest(10)!.candidate;
		expect([steps, plan.isComplete(0), plan.isComplete(10)]).toEqual([[1, 1, 1], true, false]);
		expect(plan.getNext(10).map(({id}) => id)).toEqual([selected.id]);
		plan.recordReading(selected, full, 10);
		expect([candidates.includes(selected), plan.getBest(10)]).toEqual([true, undefined]);
	});

	// Guards against two requests of one entry that read the same free slot.
	test('counts what the entry has sent to a server since it was queried', () => {
		const {plan} = createBed();
		const [candidate] = plan.getNext(0);
		candidate!.start(0);
		plan.recordReading(candidate!, half, 0);
		expect([plan.isComplete(0), plan.getBest(0)]).toEqual([false, undefined]);
	});

	// Guards against requests that wait for servers behind a cut link, one after the other.
	test('turns to other zones after replies of the own zone were missing for a few requests', () => {
		const zoneRoom = createZoneRoom();
		const zones = Array.from({length: 5}, () => {
			const {plan} = createBed(1, zoneRoom);
			const asked: string[] = [];
			while (!plan.isComplete(0)) {
				for (const candidate of plan.getNext(0)) {
					const {zone} = candidate.getAnnouncement();
					asked.push(zone);
					if (zone === 'north') {
						plan.recordDelay(candidate, 0);
					} else {
						plan.recordReading(candidate, free, 0);
					}
				}
			}

			return asked;
		});
		expect(zones.map(asked => asked[0])).toEqual(['north', 'north', 'north', 'south', 'south']);
		expect(zones.flat().filter(zone => zone === 'north').length <= 9).toEqual(true);
	});
});
