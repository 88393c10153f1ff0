import {describe, test} from 'node:test';
import {expect} from 'earl';
import {
	createLeaseTable, createLeaseHolder, type Grant, type Renewal,
} from './index.js';

const termMilliseconds = 1000;

function grant(sequence: number, changes: Partial<Grant> = {}): Grant {
	return {
		kind: 'grant', sequence, termMilliseconds, epoch: 1, revision: 0, isWhole: true, servers: [], version: 1, document: undefined, permits: [], duties: [], probeMilliseconds: 1000, quarantined: [], zonesOut: [], entries: 1, peersRevision: 0, peers: [], ...changes,
	};
}

describe('createLeaseHolder', () => {
	function doTest(grants: ReadonlyArray<{readonly grant: Grant; readonly at: number; readonly isAccepted: boolean}>, checks: ReadonlyArray<readonly [at: number, isValid: boolean]>): void {
		const holder = createLeaseHolder();
		holder.startRenewal(0);
		holder.startRenewal(500);
		for (const {grant: receivedGrant, at, isAccepted} of grants) {
			expect(holder.accept(receivedGrant, at)).toEqual(isAccepted);
		}

		for (const [at, isValid] of checks) {
			expect(holder.isValid(at)).toEqual(isValid);
		}
	}

	test('is invalid before the first grant', () => {
		doTest([], [[0, false]]);
	});
	test('counts the term from the send time of the renewal, less the clock drift', () => {
		doTest([{grant: grant(1), at: 900, isAccepted: true}], [[979, true], [980, false]]);
	});
	test('ignores a grant that arrives after its term has expired', () => {
		doTest([{grant: grant(1), at: 980, isAccepted: false}], [[500, false]]);
	});
	test('ignores grants that arrive out of order', () => {
		doTest([{grant: grant(2), at: 600, isAccepted: true}, {grant: grant(1), at: 610, isAccepted: false}], [[1479, true]]);
	});
	test('ignores a grant from a leader of an earlier epoch', () => {
		doTest([{grant: grant(1, {epoch: 2}), at: 10, isAccepted: true}, {grant: grant(2, {epoch: 1}), at: 510, isAccepted: false}], [[990, false]]);
	});
	test('ignores a grant with an older document version', () => {
		doTest([{grant: grant(1, {version: 5}), at: 10, isAccepted: true}, {grant: grant(2, {version: 4}), at: 510, isAccepted: false}], []);
	});
	test('ignores a grant that it did not request', () => {
		doTest([{grant: grant(9), at: 10, isAccepted: false}], [[10, false]]);
	});
	test('ends at once when it is released, and ignores later grants', () => {
		const holder = createLeaseHolder();
		holder.startRenewal(0);
		holder.accept(grant(1), 1);
		holder.release();
		holder.startRenewal(2);
		expect([holder.accept(grant(2), 3), holder.isValid(3)]).toEqual([false, false]);
	});
});

describe('createLeaseTable', () => {
	function renewal(entry: string, version: number, isFinal = false): Renewal {
		return {
			kind: 'renewal', entry, environment: 'production', sequence: 1, acknowledged: 0, version, epoch: 1, revision: 0, peersRevision: 0, observations: [], failedProbes: [], heard: [], crashes: [], peer: undefined, isFinal,
		};
	}

	function doTest(at: number, expected: {readonly live: readonly string[]; readonly isInForce: boolean}): void {
		const table = createLeaseTable(0, termMilliseconds);
		table.record(renewal('a', 1), 500);
		table.record(renewal('b', 2), 700);
		table.record(renewal('c', 1), 800);
		table.record(renewal('c', 1, true), 900);
		expect(table.getLive(at).map(record => record.entry)).toEqual([...expected.live]);
		expect(table.isInForce('production', 2, at)).toEqual(expected.isInForce);
	}

	test('considers no version in force before one full term has elapsed', () => {
		doTest(1000, {live: ['a', 'b'], isInForce: false});
	});
	test('waits for the lease of an entry with an older version', () => {
		doTest(1499, {live: ['a', 'b'], isInForce: false});
	});
	test('considers a version in force when the last lease with an older version has expired', () => {
		doTest(1500, {live: ['b'], isInForce: true});
	});
});
