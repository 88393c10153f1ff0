import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema} from '../announcement/index.js';
import {createRandom} from '../randomness/index.js';
import {
	createCandidate, selectQueryCandidates, getExpectedSlowdown, hasRoom, isUncongested, type Candidate,
} from './index.js';

function create(id: number, zone: string): Candidate {
	return createCandidate(id, announcementSchema.parse({
		service: 'stock', name: `s${id}`, host: '127.0.0.1', port: 1, zone, slots: 6, connections: 100, boot: 'b', state: 'warm',
	}), 'warm');
}

describe('selectQueryCandidates', () => {
	function doTest(prepare: (candidates: readonly Candidate[]) => void, expected: readonly string[], prefersNear = true): void {
		const candidates = [create(1, 'north'), create(2, 'north'), create(3, 'south'), create(4, 'south')];
		prepare(candidates);
		const selected = selectQueryCandidates({
			candidates, excluded: new Set(), zone: 'north', avoidedZones: new Set(), count: 2, prefersOwnZone: prefersNear, now: 0,
		}, createRandom(3));
		expect(selected.map(candidate => candidate.getAnnouncement().zone)).toEqual([...expected]);
	}

	test('selects servers in the own zone first', () => {
		doTest(() => undefined, ['north', 'north']);
	});
	test('selects servers with the fewest requests of any zone if the own zone had no room', () => {
		doTest(([first, second]) => {
			first!.start();
			second!.start();
		}, ['south', 'south'], false);
	});
	test('selects servers in other zones if the own zone is loaded', () => {
		doTest(([first, second]) => {
			for (let count = 0; count < 6; count++) {
				first!.start();
				second!.start();
			}
		}, ['south', 'south']);
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
	test('a server beyond its knee is congested although it has room', () => {
		const reading = {
			running: 4, waiting: 0, slots: 5, slowness: 1,
		};
		expect([hasRoom(reading), isUncongested(reading)]).toEqual([true, false]);
	});
});
