import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema} from '../announcement/index.js';
import {createRandom} from '../randomness/index.js';
import {
	chooseQueryCandidate, createCandidate, createCandidatePools, getExpectedSlowdown, hasRoom, isUncongested, type Candidate, type LoadReading,
} from './index.js';

function create(id: number, zone: string): Candidate {
	return createCandidate(id, announcementSchema.parse({
		service: 'stock', name: `s${id}`, host: '127.0.0.1', port: 1, zone, slots: 6, connections: 100, boot: 'b', state: 'warm',
	}), 'warm');
}

describe('chooseQueryCandidate', () => {
	/** Chooses two servers one after the other, the first of which did not suffice, and checks their zones for many seeds. */
	function doTest(prepare: (candidates: readonly Candidate[]) => void, expected: readonly string[], ownZoneShare = 0.7): void {
		const candidates = [create(1, 'north'), create(2, 'north'), create(3, 'south'), create(4, 'south')];
		prepare(candidates);
		const pools = createCandidatePools({candidates, subset: undefined});
		for (let seed = 0; seed < 20; seed++) {
			const random = createRandom(seed);
			const chosen: Candidate[] = [];
			while (chosen.length < expected.length) {
				chosen.push(chooseQueryCandidate({
					pools,
					excluded: new Set(chosen.map(({id}) => id)),
					zone: 'north',
					avoidedZones: new Set(),
					getZoneShare: zone => zone === 'north' ? ownZoneShare : 0.7,
					getInsufficientReadings: zone => chosen.filter(candidate => candidate.getAnnouncement().zone === zone).length,
					now: 0,
				}, random)!);
			}

			expect(chosen.map(candidate => candidate.getAnnouncement().zone)).toEqual([...expected]);
		}
	}

	const full: LoadReading = {
		running: 6, waiting: 0, slots: 6, slowness: 1,
	};

	test('chooses servers in the own zone first', () => {
		doTest(() => undefined, ['north', 'north', 'south', 'south']);
	});
	test('chooses servers in other zones if the own zone had no room lately', () => {
		doTest(() => undefined, ['south', 'south'], 0.1);
	});
	test('chooses servers in other zones if this entry alone has filled the own zone', () => {
		doTest(([first, second]) => {
			for (let count = 0; count < 6; count++) {
				first!.start();
				second!.start();
			}
		}, ['south', 'south', 'north']);
	});
	test('chooses an absent server last', () => {
		doTest(([first]) => {
			first!.update(first!.getAnnouncement(), 'warm', true);
			first!.setQueriedBeforeRequests(true);
		}, ['north', 'south', 'south', 'north']);
	});

	/** Chooses a server many times and gets the ids. */
	function chooseOne(prepare: (candidates: readonly Candidate[]) => void): readonly number[] {
		const candidates = [create(1, 'north'), create(2, 'north'), create(3, 'north')];
		prepare(candidates);
		const pools = createCandidatePools({candidates, subset: undefined});
		const random = createRandom(3);
		return Array.from({length: 30}, () => chooseQueryCandidate({
			pools, excluded: new Set(), zone: 'north', avoidedZones: new Set(), getZoneShare: () => 0.7, getInsufficientReadings: () => 0, now: 100,
		}, random)!.id);
	}

	test('chooses no server that was full a moment ago while there are others', () => {
		expect(chooseOne(([first]) => {
			first!.recordReading(full, 60);
		}).includes(1)).toEqual(false);
	});
	test('chooses a server that was uncongested a moment ago before others', () => {
		expect(chooseOne(([first]) => {
			first!.recordReading({...full, running: 0}, 100);
		}).every(id => id === 1)).toEqual(true);
	});
	test('spreads choices among servers whose readings are too old to matter', () => {
		expect(new Set(chooseOne(([first]) => {
			first!.recordReading(full, -100);
		})).size).toEqual(3);
	});
});

describe('getExpectedSlowdown, hasRoom and isUncongested', () => {
	test('a slow server has a greater slowdown than a loaded one', () => {
		const slow = getExpectedSlowdown({
			running: 0, waiting: 0, slots: 6, slowness: 5,
		});
		const loaded = getExpectedSlowdown({
			running: 5, waiting: 0, slots: 6, slowness: 1,
		});
		expect(slow > loaded).toEqual(true);
	});
	// Guards against the choice of the last free slot of a server, where requests take longer, while other servers are idle.
	test('a server whose last slot is free is congested', () => {
		const reading = {
			running: 1, waiting: 0, slots: 2, slowness: 1,
		};
		expect([hasRoom(reading), isUncongested(reading), isUncongested({...reading, running: 0})]).toEqual([true, false, true]);
	});
	test('a server beyond its knee is congested although it has room', () => {
		const reading = {
			running: 4, waiting: 0, slots: 5, slowness: 1,
		};
		expect([hasRoom(reading), isUncongested(reading)]).toEqual([true, false]);
	});
});
