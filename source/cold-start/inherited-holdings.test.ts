import {describe, test} from 'node:test';
import {expect} from 'earl';
import {type Permit} from '../lease/index.js';
import {createAllocator} from './index.js';

const liveEntries = ['a', 'b', 'c'];
const renewMilliseconds = 200;

type Holder = {readonly sequence: number; readonly permit: Permit | undefined; readonly hasLease: boolean; readonly inFlight: number};

describe('createAllocator: what an entry has without handing it over to a new leader', () => {
	/** Lets three entries renew for a second, of which `b` and `c` hold two slots each, and gets the fewest slots that one of these two had. */
	function play(first: Holder, restartAt: number): number {
		const allocator = createAllocator({startedAt: 0, termMilliseconds: 1000});
		allocator.add({
			id: 7, slots: 60, easing: {initialSlots: 1, growthPerSuccess: 0.2, ceilingMilliseconds: 30_000}, deadlineMilliseconds: 500, hasEarlierHolders: true,
		}, 0);
		const other: Holder = {
			sequence: 500, permit: {server: 7, slots: 2}, hasLease: false, inFlight: 0,
		};
		const holders = new Map([['a', first], ['b', other], ['c', other]]);

		function renew(entry: string, holder: Holder, now: number): Holder {
			const {permit, hasLease, inFlight} = holder;
			const sequence = holder.sequence + 1;
			allocator.report(entry, holder.sequence, [{
				server: 7, inFlight, successes: 0, sheds: 0, isCold: false,
			}], now);
			allocator.inherit({
				entry, acknowledged: holder.sequence, permits: permit === undefined ? [] : [permit], hasLease,
			}, now);
			const [granted] = allocator.grant(entry, sequence, liveEntries, now);
			return {
				sequence, permit: granted?.isKept === true ? permit : granted, hasLease: true, inFlight,
			};
		}

		let fewest = Number.POSITIVE_INFINITY;
		for (let now = 0; now <= 1000; now += renewMilliseconds) {
			if (now === restartAt) {
				holders.set('a', {
					sequence: 0, permit: undefined, hasLease: false, inFlight: 0,
				});
			}

			for (const entry of liveEntries) {
				holders.set(entry, renew(entry, holders.get(entry)!, now));
			}

			fewest = Math.min(fewest, ...['b', 'c'].map(entry => holders.get(entry)!.permit?.slots ?? 0));
		}

		return fewest;
	}

	function doTest(first: Holder, restartAt: number, expected: number): void {
		expect(play(first, restartAt)).toEqual(expected);
	}

	const never = Number.POSITIVE_INFINITY;

	test('takes nothing from the others if it restarts before it has confirmed its permit', () => {
		doTest({
			sequence: 500, permit: {server: 7, slots: 2}, hasLease: false, inFlight: 0,
		}, renewMilliseconds, 1);
	});
	test('takes nothing from the others if it reports only requests in flight, as in earlier releases', () => {
		doTest({
			sequence: 500, permit: undefined, hasLease: false, inFlight: 2,
		}, never, 1);
	});
});

describe('createAllocator: requests in flight with a permit that an entry has handed over', () => {
	function doTest(inFlight: number, expected: number): void {
		const allocator = createAllocator({startedAt: 0, termMilliseconds: 1000});
		allocator.add({
			id: 7, slots: 60, easing: {initialSlots: 1, growthPerSuccess: 0.2, ceilingMilliseconds: 30_000}, deadlineMilliseconds: 500, hasEarlierHolders: true,
		}, 0);
		let permits: readonly Permit[] = [{server: 7, slots: 2}];
		for (let sequence = 1; sequence <= 3; sequence++) {
			allocator.report('a', sequence - 1, [{
				server: 7, inFlight: sequence < 3 ? 2 : inFlight, successes: 0, sheds: 0, isCold: false,
			}], sequence);
			allocator.inherit({
				entry: 'a', acknowledged: sequence - 1, permits, hasLease: sequence > 1,
			}, sequence);
			permits = allocator.grant('a', sequence, ['a', 'b'], sequence);
		}

		expect(permits.map(({slots}) => slots)).toEqual([1]);
		allocator.inherit({
			entry: 'b', acknowledged: 0, permits: [], hasLease: false,
		}, 4);
		expect(allocator.grant('b', 1, ['a', 'b'], 4)[0]?.slots ?? 0).toEqual(expected);
	}

	test('keep their slots from others until they have ended', () => {
		doTest(2, 0);
		doTest(1, 1);
	});
});

describe('createAllocator: a grant with which an entry keeps its permit, and which arrives after the entry has confirmed it', () => {
	test('still counts as the permit that the entry handed over', () => {
		const allocator = createAllocator({startedAt: 0, termMilliseconds: 1000});
		allocator.add({
			id: 7, slots: 60, easing: {initialSlots: 1, growthPerSuccess: 0.2, ceilingMilliseconds: 30_000}, deadlineMilliseconds: 500, hasEarlierHolders: true,
		}, 0);
		const permits: readonly Permit[] = [{server: 7, slots: 2}];

		/** Renews as `a`, which still holds two slots. The grant for this renewal is late. */
		function renew(sequence: number, acknowledged: number, hasLease: boolean): void {
			allocator.report('a', acknowledged, [], sequence);
			allocator.inherit({
				entry: 'a', acknowledged, permits, hasLease,
			}, sequence);
			allocator.grant('a', sequence, ['a', 'b'], sequence);
		}

		renew(11, 10, false);
		renew(12, 10, false);
		renew(13, 11, true);
		renew(14, 12, true);
		allocator.inherit({
			entry: 'b', acknowledged: 0, permits: [], hasLease: false,
		}, 15);
		expect(allocator.grant('b', 1, ['a', 'b'], 15)).toEqual([]);
	});
});
