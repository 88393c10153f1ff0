import {describe, test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createAllocator, createCapacity, type ColdServer} from './index.js';

const easing = {initialSlots: 1, growthPerSuccess: 0.1, ceilingMilliseconds: 30_000};
const termMilliseconds = 1000;
const deadlineMilliseconds = 500;
const server: ColdServer = {
	id: 7, slots: 6, easing, deadlineMilliseconds, hasEarlierHolders: false,
};

describe('createCapacity', () => {
	function doTest(reports: ReadonlyArray<readonly [successes: number, sheds: number, at: number]>, at: number, expected: {readonly slots: number; readonly isWarm: boolean}): void {
		const capacity = createCapacity(6, easing, 0);
		for (const [successes, sheds, time] of reports) {
			capacity.report(successes, sheds, time);
		}

		expect({slots: capacity.getSlots(at), isWarm: capacity.isWarm(at)}).toEqual(expected);
	}

	test('starts with the initial slots', () => {
		doTest([], 0, {slots: 1, isWarm: false});
	});
	test('gains slots with successes', () => {
		doTest([[25, 0, 10]], 10, {slots: 3, isWarm: false});
	});
	test('loses half of its slots after a shed', () => {
		doTest([[40, 0, 10], [0, 1, 20]], 20, {slots: 2, isWarm: false});
	});
	test('is warm with all its slots', () => {
		doTest([[60, 0, 10]], 10, {slots: 6, isWarm: true});
	});
	test('is warm after the ceiling time without a shed', () => {
		doTest([[1, 0, 10]], 30_000, {slots: 6, isWarm: true});
	});
	test('is not warm after the ceiling time without a success', () => {
		doTest([], 60_000, {slots: 1, isWarm: false});
	});
});

type Holder = {name: string; sequence: number; acknowledged: number; permit: number; expiresAt: number; inFlight: number[]};

describe('createAllocator: a cold server that announces fewer slots', () => {
	function doTest(slots: number, expected: {readonly capacity: number; readonly granted: number}): void {
		const allocator = createAllocator({startedAt: 0, termMilliseconds});
		allocator.add(server, 0);
		allocator.report('a', 0, [{
			server: 7, inFlight: 0, successes: 40, sheds: 0, isCold: false,
		}], 10);
		allocator.add({...server, slots}, 20);
		const [permit] = allocator.grant('a', 1, ['a'], 30);
		expect({capacity: allocator.getUsage(7, 30)!.capacity, granted: permit!.slots}).toEqual(expected);
	}

	test('is limited to the announced slots', () => {
		doTest(2, {capacity: 2, granted: 2});
	});
	test('keeps the slots that it has gained up to the announced ones', () => {
		doTest(5, {capacity: 5, granted: 5});
	});
});

describe('createAllocator: slots that entries may still use', () => {
	/** Simulates entries that miss grants, run requests up to their deadline, and lose their leases. */
	function doTest(hasEarlierHolders: boolean, seed: number): void {
		let granted = 0;
		fc.assert(fc.property(fc.array(fc.tuple(fc.nat(99), fc.nat(3), fc.nat(200)), {minLength: 50, maxLength: 300, size: 'max'}), steps => {
			const allocator = createAllocator({startedAt: 0, termMilliseconds});
			allocator.add({...server, hasEarlierHolders}, 0);
			const holders: Holder[] = ['a', 'b', 'c', 'd'].map(name => ({
				name, sequence: 0, acknowledged: 0, permit: 0, expiresAt: 0, inFlight: [],
			}));
			const expiryAtLeader = new Map<string, number>();
			let now = 0;
			for (const [kind, index, elapsed] of steps) {
				now += elapsed;
				const holder = holders[index]!;
				for (const other of holders) {
					other.inFlight = other.inFlight.filter(end => end > now);
				}

				for (const [name, expiry] of expiryAtLeader) {
					if (expiry <= now) {
						allocator.expireLease(name, now);
						expiryAtLeader.delete(name);
					}
				}

				if (kind < 60) {
					holder.sequence++;
					allocator.report(holder.name, holder.acknowledged, [{
						server: 7, inFlight: holder.inFlight.length, successes: kind < 30 ? 2 : 0, sheds: kind === 59 ? 1 : 0, isCold: false,
					}], now);
					expiryAtLeader.set(holder.name, now + termMilliseconds);
					const permits = allocator.grant(holder.name, holder.sequence, [...expiryAtLeader.keys()].toSorted(), now);
					const isGrantLost = kind % 5 === 0;
					if (!isGrantLost) {
						holder.permit = permits.find(permit => permit.server === 7)?.slots ?? 0;
						holder.acknowledged = holder.sequence;
						holder.expiresAt = now + termMilliseconds;
						granted += holder.permit;
					}
				} else if (now < holder.expiresAt && holder.inFlight.length < holder.permit) {
					holder.inFlight.push(now + deadlineMilliseconds);
				}

				const usage = allocator.getUsage(7, now)!;
				const usableSlots = holders.reduce((sum, other) => sum + Math.max(other.inFlight.length, now < other.expiresAt ? other.permit : 0), 0);
				expect(usableSlots <= Math.max(usage.capacity, usage.held)).toEqual(true);
				expect(usableSlots <= 6).toEqual(true);
				if (hasEarlierHolders && now < termMilliseconds + deadlineMilliseconds) {
					expect(usableSlots).toEqual(0);
				}
			}
		}), {seed, numRuns: 200, endOnFailure: true});
		expect(granted > 100).toEqual(true);
	}

	test('never exceed the capacity of the server', () => {
		doTest(false, 31);
	});
	test('are zero while leases of an earlier leader or requests sent under them may still be in effect', () => {
		doTest(true, 32);
	});
});
