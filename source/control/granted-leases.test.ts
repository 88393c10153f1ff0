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
