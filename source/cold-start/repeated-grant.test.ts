import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createAllocator} from './index.js';

describe('createAllocator: a renewal that arrives twice', () => {
	function doTest(expected: {readonly first: number; readonly repeated: number; readonly other: number}): void {
		const allocator = createAllocator({startedAt: 0, termMilliseconds: 1000});
		allocator.add({
			id: 7, slots: 6, easing: {initialSlots: 4, growthPerSuccess: 0.1, ceilingMilliseconds: 30_000}, deadlineMilliseconds: 500, hasEarlierHolders: false,
		}, 0);

		function grant(entry: string, liveEntries: readonly string[]): number {
			return allocator.grant(entry, 1, liveEntries, 10)[0]?.slots ?? 0;
		}

		const first = grant('a', ['a']);
		const repeated = grant('a', ['a', 'b']);
		expect({first, repeated, other: grant('b', ['a', 'b'])}).toEqual(expected);
	}

	test('is granted what the entry may have from either grant', () => {
		doTest({first: 4, repeated: 2, other: 0});
	});
});
