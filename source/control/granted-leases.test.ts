import {describe, test} from 'node:test';
import {expect} from 'earl';
import {type Renewal} from '../lease/index.js';
import {createGrantedLeases} from './granted-leases.js';

const termMilliseconds = 1000;

const renewal: Renewal = {
	kind: 'renewal',
	entry: 'a',
	environment: 'production',
	sequence: 1,
	acknowledged: 0,
	version: 1,
	epoch: 1,
	revision: 0,
	peersRevision: 0,
	observations: [],
	failedProbes: [],
	heard: [],
	crashes: [],
	peer: undefined,
	isFinal: false,
};

describe('createGrantedLeases: a decision after the previous lease of the entry has ended', () => {
	/** Lets a lease that was renewed at 0 end, and then decides on a renewal of an earlier time. Returns the live entries and the times at which leases ended. */
	function play(receivedAt: number, decidedAt: number): {readonly live: readonly string[]; readonly expiries: readonly number[]} {
		const expiries: number[] = [];
		const leases = createGrantedLeases({
			epoch: 1,
			startedAt: 0,
			termMilliseconds,
			onExpiry(entry, now) {
				expiries.push(now);
			},
		});
		leases.record(renewal, 0);
		leases.expire(termMilliseconds);
		leases.getLiveEntries('production', termMilliseconds);
		leases.record({...renewal, sequence: 2}, receivedAt);
		leases.expire(decidedAt);
		return {live: leases.getLiveEntries('production', decidedAt), expiries};
	}

	function doTest(times: {readonly receivedAt: number; readonly decidedAt: number}, expected: ReturnType<typeof play>): void {
		expect(play(times.receivedAt, times.decidedAt)).toEqual(expected);
	}

	test('makes the entry live again', () => {
		doTest({receivedAt: 900, decidedAt: 1100}, {live: ['a'], expiries: [1000]});
	});
	test('lets the lease end again if that has ended as well', () => {
		doTest({receivedAt: 900, decidedAt: 2000}, {live: [], expiries: [1000, 2000]});
	});
});

describe('createGrantedLeases: two processes of one entry', () => {
	type Process = Pick<Renewal, 'process' | 'isFinal'>;

	/** Renews with each process, and checks whether the entry is live. */
	function doTest(processes: readonly Process[], expected: boolean): void {
		const leases = createGrantedLeases({
			epoch: 1,
			startedAt: 0,
			termMilliseconds,
			onExpiry() {
				// The test looks at the live entries.
			},
		});
		for (const [index, process] of processes.entries()) {
			leases.record({...renewal, sequence: index + 1, ...process}, index);
			leases.expire(index);
		}

		expect(leases.getLiveEntries('production', processes.length)).toEqual(expected ? ['a'] : []);
	}

	test('keep the lease of the successor if the last renewal of the other one is late', () => {
		doTest([{process: 'old', isFinal: false}, {process: 'new', isFinal: false}, {process: 'old', isFinal: true}], true);
		doTest([{process: 'new', isFinal: false}, {process: 'old', isFinal: true}], true);
	});
	test('return the lease with the last renewal of the one that renewed last', () => {
		doTest([{process: 'old', isFinal: false}, {process: 'old', isFinal: true}], false);
		doTest([{process: undefined, isFinal: false}, {process: undefined, isFinal: true}], false);
		doTest([{process: 'old', isFinal: false}, {process: 'new', isFinal: false}, {process: 'new', isFinal: true}], false);
	});
	test('have renewals that are not repeated if only their numbers are equal', () => {
		const leases = createGrantedLeases({
			epoch: 1,
			startedAt: 0,
			termMilliseconds,
			onExpiry() {
				// No lease ends in this test.
			},
		});
		leases.record({...renewal, process: 'old'}, 0);
		expect([leases.isRepeated({...renewal, process: 'old'}), leases.isRepeated({...renewal, process: 'new'})]).toEqual([true, false]);
	});
});
