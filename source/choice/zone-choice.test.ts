import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../randomness/index.js';
import {chooseZone, type ZoneOption} from './zone-choice.js';
import {createZoneRoom} from './index.js';

function createOption(zone: string, changes: Partial<ZoneOption> = {}): ZoneOption {
	return {
		zone, servers: 10, share: 0.7, insufficientReadings: 0, isAvoided: false, ...changes,
	};
}

describe('chooseZone', () => {
	/** Chooses a zone many times for an entry in the north, and checks how often each is chosen, in tenths. */
	function doTest(options: readonly ZoneOption[], expected: Readonly<Record<string, number>>): void {
		const random = createRandom(7);
		const counts: Record<string, number> = {};
		for (let choice = 0; choice < 2000; choice++) {
			const zone = chooseZone(options, 'north', random) ?? 'none';
			counts[zone] = (counts[zone] ?? 0) + 1;
		}

		expect(Object.fromEntries(Object.entries(counts).map(([zone, count]) => [zone, Math.round(count / 200)]))).toEqual({...expected});
	}

	test('is the own zone while it has about as much room as others', () => {
		doTest([createOption('south'), createOption('north'), createOption('east')], {north: 10});
		doTest([createOption('south', {share: 1}), createOption('north', {share: 0.65})], {north: 10});
	});
	test('is another zone when the own one has much less room', () => {
		doTest([createOption('north', {share: 0.2}), createOption('south')], {south: 10});
	});
	test('is another zone when several servers of the own one did not suffice', () => {
		doTest([createOption('north', {share: 0.4, insufficientReadings: 1}), createOption('south')], {north: 10});
		doTest([createOption('north', {share: 0.4, insufficientReadings: 2}), createOption('south')], {south: 10});
	});
	// Guards against requests that cross zones without use when servers are short everywhere.
	test('is the own zone when hardly any server has room', () => {
		doTest([createOption('north', {share: 0.05}), createOption('south', {share: 0.2}), createOption('east', {share: 0.1})], {north: 10});
	});
	test('is drawn in proportion to the servers with room of other zones', () => {
		doTest([createOption('north', {share: 0.1}), createOption('south', {servers: 5}), createOption('east', {servers: 20})], {south: 2, east: 8});
		doTest([createOption('north', {share: 0.1}), createOption('south', {share: 0.3}), createOption('east', {share: 0.7})], {south: 3, east: 7});
	});
	test('is no zone in which an attempt has failed, while there are others', () => {
		doTest([createOption('north', {isAvoided: true}), createOption('south', {isAvoided: true}), createOption('east')], {east: 10});
		doTest([createOption('north', {isAvoided: true})], {north: 10});
	});
	test('is none without zones', () => {
		doTest([], {none: 10});
	});
});

describe('createZoneRoom', () => {
	/** Records readings of a zone 10 ms apart, and checks its share at the last one and a second later. */
	function doTest(readings: readonly boolean[], expected: readonly [last: number, later: number]): void {
		const room = createZoneRoom();
		for (const [index, hasRoom] of readings.entries()) {
			room.record('north', hasRoom, index * 10);
		}

		const lastAt = (readings.length - 1) * 10;
		expect([room.getShare('north', lastAt), room.getShare('north', lastAt + 1000)].map(share => Math.round(share * 10) / 10)).toEqual([...expected]);
	}

	test('approaches what is read, and returns to the usual share later', () => {
		doTest([], [0.7, 0.7]);
		doTest(Array.from({length: 60}, () => false), [0.1, 0.5]);
		doTest(Array.from({length: 60}, () => true), [1, 0.8]);
	});
	test('is the share of the readings with room', () => {
		doTest(Array.from({length: 40}, (_, index) => index % 2 === 0), [0.5, 0.6]);
	});
});
