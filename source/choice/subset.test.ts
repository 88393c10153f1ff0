import {describe, test} from 'node:test';
import {expect} from 'earl';
import * as fc from 'fast-check';
import {announcementSchema} from '../announcement/index.js';
import {createRandom} from '../randomness/index.js';
import {
	chooseQueryCandidate, createCandidate, createCandidatePools, createSubsetChooser, type Candidate,
} from './index.js';

const seed = 93;
const subsetSize = 8;

function create(id: number, zone = 'north'): Candidate {
	return createCandidate(id, announcementSchema.parse({
		service: 'stock', name: `s${id}`, host: '127.0.0.1', port: 1, zone, slots: 6, connections: 100, boot: 'b', state: 'warm',
	}), 'warm');
}

function createMany(ids: Iterable<number>): readonly Candidate[] {
	return [...ids].map(id => create(id));
}

function choose(entry: string, candidates: readonly Candidate[]): ReadonlySet<number> {
	return createSubsetChooser({entry, zone: 'north'}).choose(candidates) ?? new Set();
}

describe('createSubsetChooser', () => {
	test('needs no choice among a few servers', () => {
		expect(choose('e', createMany(Array.from({length: subsetSize}, (_, index) => index))).size).toEqual(0);
	});
	test('takes servers of the own zone only', () => {
		const candidates = [...createMany(Array.from({length: 20}, (_, index) => index)), ...Array.from({length: 20}, (_, index) => create(index + 100, 'south'))];
		const subset = choose('e', candidates);
		expect([subset.size, [...subset].every(id => id < 100)]).toEqual([subsetSize, true]);
	});
	test('gives no server less than half or more than twice the mean number of entries', () => {
		const candidates = createMany(Array.from({length: 38}, (_, index) => index));
		const counts = new Map(candidates.map(({id}) => [id, 0]));
		for (let entry = 0; entry < 62 * 5; entry++) {
			for (const id of choose(`edge-${entry}`, candidates)) {
				counts.set(id, counts.get(id)! + 1);
			}
		}

		const mean = 62 * 5 * subsetSize / candidates.length;
		expect([...counts.values()].every(count => count >= mean / 2 && count <= mean * 2)).toEqual(true);
	});
	test('replaces one server at most when one joins or leaves', () => {
		fc.assert(fc.property(fc.uniqueArray(fc.nat(1000), {minLength: subsetSize + 2, maxLength: 60}), fc.string(), (ids, entry) => {
			const before = choose(entry, createMany(ids.slice(1)));
			const after = choose(entry, createMany(ids));
			const left = [...before].filter(id => !after.has(id));
			const joined = [...after].filter(id => !before.has(id));
			expect(left.length <= 1 && joined.length <= 1 && joined.every(id => id === ids[0])).toEqual(true);
		}), {seed, numRuns: 200});
	});
});

describe('chooseQueryCandidate with a subset', () => {
	const candidates = createMany(Array.from({length: 30}, (_, index) => index));

	/** Chooses three servers one after the other, many times, and checks whether they are in the subset. */
	function doTest(prepare: (candidate: Candidate) => void, expectedInSubset: boolean): void {
		const all = createMany(candidates.map(({id}) => id));
		const subset = choose('e', all);
		for (const candidate of all.filter(({id}) => subset.has(id))) {
			prepare(candidate);
		}

		const random = createRandom(seed);
		const pools = createCandidatePools({candidates: all, subset});
		for (let round = 0; round < 50; round++) {
			const chosen: Candidate[] = [];
			while (chosen.length < 3) {
				chosen.push(chooseQueryCandidate({
					pools, excluded: new Set(chosen.map(({id}) => id)), zone: 'north', avoidedZones: new Set(), getZoneShare: () => 0.7, getInsufficientReadings: () => 0, now: 0,
				}, random)!);
			}

			expect(chosen.every(({id}) => subset.has(id)) || !expectedInSubset).toEqual(true);
			expect(chosen.some(({id}) => !subset.has(id)) || expectedInSubset).toEqual(true);
		}
	}

	test('queries only servers of the subset while they are idle', () => {
		doTest(() => undefined, true);
	});
	test('queries others when the whole subset is loaded', () => {
		doTest(candidate => {
			for (let count = 0; count < 4; count++) {
				candidate.start();
			}
		}, false);
	});
	test('queries others when the whole subset has failed', () => {
		doTest(candidate => {
			candidate.update(candidate.getAnnouncement(), 'warm', true);
		}, false);
	});
});
