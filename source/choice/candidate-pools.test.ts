import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema} from '../announcement/index.js';
import {createRandom} from '../randomness/index.js';
import {
	createCandidate, createCandidatePools, sampleCandidates, type Candidate,
} from './index.js';

function createMany(count: number): readonly Candidate[] {
	return Array.from({length: count}, (_, index) => createCandidate(index, announcementSchema.parse({
		service: 'stock', name: `s${index}`, host: '127.0.0.1', port: 1, zone: index % 2 === 0 ? 'north' : 'south', slots: 2, connections: 100, boot: 'b', state: 'warm',
	}), 'warm'));
}

describe('createCandidatePools', () => {
	test('has each candidate once', () => {
		const {preferred, byZone} = createCandidatePools({candidates: createMany(6), subset: new Set([2])});
		expect({preferred: preferred.map(({id}) => id), north: byZone.get('north')?.map(({id}) => id), south: byZone.get('south')?.map(({id}) => id)}).toEqual({preferred: [2], north: [0, 4], south: [1, 3, 5]});
	});
});

describe('sampleCandidates', () => {
	/** Draws four candidates many times, and checks the number of draws and of different candidates. */
	function doTest(count: number, isEligible: (id: number) => boolean, expected: {readonly sizes: number[]; readonly drawn: number}): void {
		const candidates = createMany(count);
		const random = createRandom(8);
		const drawn = new Set<number>();
		const sizes = new Set<number>();
		for (let round = 0; round < 500; round++) {
			const sample = sampleCandidates(candidates, 4, ({id}) => isEligible(id), random);
			sizes.add(sample.length);
			for (const {id} of sample) {
				drawn.add(id);
			}
		}

		expect({sizes: [...sizes].toSorted((left, right) => left - right), drawn: drawn.size}).toEqual(expected);
	}

	test('gets all of a few candidates', () => {
		doTest(6, () => true, {sizes: [6], drawn: 6});
		doTest(6, id => id < 2, {sizes: [2], drawn: 2});
	});
	test('draws some of many, each of them sometimes', () => {
		doTest(100, () => true, {sizes: [4], drawn: 100});
	});
	test('finds the only eligible one of many', () => {
		doTest(100, id => id === 77, {sizes: [1], drawn: 1});
	});
	test('finds none if none is eligible', () => {
		doTest(100, () => false, {sizes: [0], drawn: 0});
	});
});
