import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createAllocator} from './index.js';

describe('createAllocator: a renewal of a killed entry that arrives after one of its successor', () => {
	test('does not release what the successor holds', () => {
		const allocator = createAllocator({startedAt: 0, termMilliseconds: 1000});
		allocator.add({
			id: 7, slots: 6, easing: {initialSlots: 4, growthPerSuccess: 0.1, ceilingMilliseconds: 30_000}, deadlineMilliseconds: 500, hasEarlierHolders: false,
		}, 0);
		const held = allocator.grant('a', 1, ['a'], 10)[0]!.slots;
		allocator.report('a', 499, [], 20);
		allocator.grant('a', 500, ['a', 'b'], 20);
		allocator.report('a', 1, [], 30);
		allocator.grant('a', 2, ['a', 'b'], 30);
		const other = allocator.grant('b', 1, ['a', 'b'], 40)[0]?.slots ?? 0;
		expect([held, other]).toEqual([4, 0]);
	});
});

describe('createAllocator: two processes of one entry', () => {
	type Step = {
		readonly process: string;
		readonly sequence: number;
		readonly acknowledged: number;
		readonly inFlight?: number;
		readonly live?: readonly string[];
	};

	/** Renews as `a` for each step, and gets the slots that another entry then has of four. */
	function doTest(steps: readonly Step[], expected: number): void {
		const allocator = createAllocator({startedAt: 0, termMilliseconds: 1000});
		allocator.add({
			id: 7, slots: 6, easing: {initialSlots: 4, growthPerSuccess: 0.1, ceilingMilliseconds: 30_000}, deadlineMilliseconds: 500, hasEarlierHolders: false,
		}, 0);
		for (const [now, {process, sequence, acknowledged, inFlight = 0, live = ['a', 'b']}] of steps.entries()) {
			allocator.setProcess('a', process);
			allocator.report('a', acknowledged, [{
				server: 7, inFlight, successes: 0, sheds: 0, isCold: false,
			}], now);
			allocator.grant('a', sequence, live, now);
		}

		expect(allocator.grant('b', 1, ['a', 'b'], 100)[0]?.slots ?? 0).toEqual(expected);
	}

	const alone: readonly string[] = ['a'];

	test('hold what the successor does if the late renewal acknowledges a number that the successor has reached', () => {
		doTest([{
			process: 'new', sequence: 1, acknowledged: 0, live: alone,
		}, {process: 'new', sequence: 2, acknowledged: 0}, {process: 'old', sequence: 3, acknowledged: 2}], 0);
	});
	test('have the requests in flight of the successor if the late renewal has none', () => {
		const steps: readonly Step[] = [
			{
				process: 'new', sequence: 1, acknowledged: 0, live: alone,
			},
			{
				process: 'new', sequence: 2, acknowledged: 1, inFlight: 4,
			},
			{
				process: 'new', sequence: 3, acknowledged: 2, inFlight: 4,
			},
		];
		doTest(steps, 0);
		doTest([...steps, {process: 'old', sequence: 500, acknowledged: 499}], 0);
	});
	test('release what the killed one held once the successor has acknowledged a newer grant', () => {
		const killed: Step = {
			process: 'old', sequence: 500, acknowledged: 499, live: alone,
		};
		doTest([killed, {process: 'new', sequence: 1, acknowledged: 0}], 0);
		doTest([killed, {process: 'new', sequence: 1, acknowledged: 0}, {process: 'new', sequence: 2, acknowledged: 1}, {process: 'new', sequence: 3, acknowledged: 2}], 2);
	});
});
