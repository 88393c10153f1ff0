import {describe, test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createProbeDuties, createProbeSchedule, getProbeIntervalMilliseconds} from './index.js';

describe('getProbeIntervalMilliseconds', () => {
	function doTest(budget: readonly [perServer: number, total: number], servers: number, expected: number): void {
		expect(getProbeIntervalMilliseconds({probesPerSecondPerServer: budget[0], probesPerSecond: budget[1]}, servers)).toEqual(expected);
	}

	test('spaces probes wider than the rate of one server', () => {
		doTest([1, 100], 10, 1250);
	});
	test('divides the total among the servers', () => {
		doTest([1, 10], 20, 2500);
	});
	test('allows none without a budget', () => {
		doTest([0, 10], 20, Number.POSITIVE_INFINITY);
	});
});

describe('createProbeDuties: shares', () => {
	type Expected = {readonly sizes: readonly number[]; readonly moved: number};

	/** Checks the duties of each prober, and how many moved after a change of probers. */
	function doTest(before: readonly string[], after: readonly string[], expected: Expected): void {
		const duties = createProbeDuties();
		for (let server = 1; server <= 60; server++) {
			duties.add(server);
		}

		function settle(probers: readonly string[]): ReadonlyMap<number, string | undefined> {
			duties.setProbers(probers);
			for (const sequence of [1, 2, 3]) {
				for (const entry of new Set([...before, ...after])) {
					duties.acknowledge(entry, sequence);
					duties.grant(entry, sequence);
				}
			}

			return new Map(Array.from({length: 60}, (_, index) => [index + 1, duties.getProber(index + 1)]));
		}

		const first = settle(before);
		const second = settle(after);
		const sizes = after.map(entry => [...second.values()].filter(prober => prober === entry).length);
		const moved = [...second].filter(([server, prober]) => first.get(server) !== prober).length;
		expect({sizes, moved}).toEqual({sizes: [...expected.sizes], moved: expected.moved});
	}

	test('are even', () => {
		doTest([], ['a', 'b', 'c'], {sizes: [20, 20, 20], moved: 60});
	});
	test('move only to an added prober', () => {
		doTest(['a', 'b', 'c'], ['a', 'b', 'c', 'd'], {sizes: [15, 15, 15, 15], moved: 15});
	});
	test('move only from a removed prober', () => {
		doTest(['a', 'b', 'c'], ['a', 'c'], {sizes: [30, 30], moved: 20});
	});
	test('are unassigned while there is no prober', () => {
		doTest(['a'], [], {sizes: [], moved: 60});
	});
});

describe('createProbeDuties and createProbeSchedule', () => {
	/** Simulates probing entries that miss grants and lose their leases, and checks the probes at each server. */
	function doTest(probesPerSecond: number, seed: number): void {
		const interval = getProbeIntervalMilliseconds({probesPerSecondPerServer: probesPerSecond, probesPerSecond: 1000}, 3);
		let total = 0;
		fc.assert(fc.property(fc.array(fc.tuple(fc.nat(99), fc.nat(3), fc.nat(120)), {minLength: 100, maxLength: 500, size: 'max'}), steps => {
			const duties = createProbeDuties();
			for (const server of [1, 2, 3]) {
				duties.add(server);
			}

			const holders = ['a', 'b', 'c', 'd'].map(name => ({
				name, sequence: 0, acknowledged: 0, expiresAt: 0, schedule: createProbeSchedule(),
			}));
			const leaderExpiry = new Map<string, number>();
			const probes = new Map<number, number[]>();
			let now = 0;
			for (const [kind, index, elapsed] of steps) {
				now += elapsed;
				for (const [name, expiry] of leaderExpiry) {
					if (expiry <= now) {
						duties.expireLease(name);
						leaderExpiry.delete(name);
					}
				}

				const holder = holders[index]!;
				if (kind < 40) {
					holder.sequence++;
					leaderExpiry.set(holder.name, now + 1000);
					duties.acknowledge(holder.name, holder.acknowledged);
					duties.setProbers([...leaderExpiry.keys()].toSorted());
					const granted = duties.grant(holder.name, holder.sequence);
					if (kind % 4 !== 0) {
						holder.acknowledged = holder.sequence;
						holder.expiresAt = now + 1000;
						holder.schedule.assign(granted, interval, now);
					}
				}

				for (const other of holders) {
					for (const server of now < other.expiresAt ? other.schedule.takeDue(now) : []) {
						probes.set(server, [...probes.get(server) ?? [], now]);
						total++;
					}
				}
			}

			for (const times of probes.values()) {
				for (const time of times) {
					expect(times.filter(other => other >= time && other < time + 1000).length <= probesPerSecond).toEqual(true);
				}
			}
		}), {seed, numRuns: 150, endOnFailure: true});
		expect(total > 100).toEqual(true);
	}

	test('never probe a server more than once a second under a budget of one', () => {
		doTest(1, 41);
	});
	test('never probe a server more than four times a second under a budget of four', () => {
		doTest(4, 42);
	});
});

describe('createProbeDuties: two processes of one entry', () => {
	type Step = {readonly process: string; readonly sequence: number; readonly acknowledged: number};

	/** Renews as `a`, which has the only duty, and then with the given steps while the duty moves to `b`. Gets the prober. */
	function doTest(steps: readonly Step[], expected: string): void {
		const duties = createProbeDuties();
		duties.add(1);
		duties.setProbers(['a']);
		duties.grant('a', 1, steps[0]!.process);
		duties.setProbers(['b']);
		for (const {process, sequence, acknowledged} of steps) {
			duties.acknowledge('a', acknowledged, process);
			duties.grant('a', sequence, process);
			duties.grant('b', sequence, 'other');
		}

		duties.grant('b', 999, 'other');
		expect(duties.getProber(1)).toEqual(expected);
	}

	test('keep a duty that a late renewal of the killed one appears to return', () => {
		doTest([{process: 'new', sequence: 2, acknowledged: 1}, {process: 'old', sequence: 500, acknowledged: 499}], 'a');
	});
	test('return a duty that was revoked from the killed one', () => {
		const killed: Step = {process: 'old', sequence: 500, acknowledged: 499};
		doTest([killed, {process: 'new', sequence: 1, acknowledged: 0}], 'a');
		doTest([killed, {process: 'new', sequence: 1, acknowledged: 0}, {process: 'new', sequence: 2, acknowledged: 1}], 'b');
	});
});
