import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createSlackAccount, type SlackAccount} from './index.js';

const termMilliseconds = 1000;
const windowMilliseconds = 5000;
const total = 20;

/** A renewal: sent by a holder at a time, with what it applied, holds, used and wants. */
type Report = {
	readonly holder: string;
	readonly at: number;
	readonly sequence: number;
	readonly acknowledged?: number;
	readonly part?: number;
	readonly used?: number;
	readonly wanted?: number;
	readonly isFinal?: boolean;
	readonly hasDocument?: boolean;
};

describe('createSlackAccount', () => {
	function createAccount(withheldUntil = 0): SlackAccount {
		return createSlackAccount({termMilliseconds, windowMilliseconds, withheldUntil});
	}

	function lend(account: SlackAccount, report: Report): number {
		const {
			holder, at, sequence, acknowledged = 0, part = 0, used = 0, wanted = 30, isFinal = false, hasDocument = true,
		} = report;
		return account.lend({
			holder, sequence, acknowledged, isFinal, hasDocument, receivedAt: at, report: {
				total, part, used, wanted,
			},
		}).part;
	}

	function doTest(reports: readonly Report[], expected: readonly number[], account = createAccount()): void {
		expect(reports.map(report => lend(account, report))).toEqual([...expected]);
	}

	test('lends nothing again before a smaller part is acknowledged', () => {
		doTest([
			{holder: 'a', at: 0, sequence: 1},
			{holder: 'b', at: 10, sequence: 1},
			{
				holder: 'a', at: 500, sequence: 2, acknowledged: 1, part: 20,
			},
			{
				holder: 'b', at: 510, sequence: 2, acknowledged: 1,
			},
			{
				holder: 'a', at: 600, sequence: 3, acknowledged: 2, part: 10,
			},
			{
				holder: 'b', at: 610, sequence: 3, acknowledged: 2,
			},
		], [20, 0, 10, 0, 10, 10]);
	});
	test('counts what was used before a smaller part was acknowledged', () => {
		doTest([
			{holder: 'a', at: 0, sequence: 1},
			{
				holder: 'b', at: 10, sequence: 1, wanted: 19,
			},
			{
				holder: 'a', at: 500, sequence: 2, acknowledged: 1, part: 20, used: 15, wanted: 0,
			},
			{
				holder: 'a', at: 600, sequence: 3, acknowledged: 2, part: 1, used: 15, wanted: 0,
			},
			{
				holder: 'b', at: 610, sequence: 2, acknowledged: 1, wanted: 19,
			},
		], [20, 0, 1, 1, 5]);
	});
	test('ignores a report that arrives after a later one', () => {
		doTest([
			{holder: 'a', at: 0, sequence: 1},
			{
				holder: 'a', at: 500, sequence: 3, acknowledged: 1, part: 20, used: 18,
			},
			{
				holder: 'a', at: 510, sequence: 2, used: 0,
			},
			{
				holder: 'b', at: 520, sequence: 1,
			},
		], [20, 20, 20, 0]);
	});
	test('counts the part of a lost holder until its lease and the window have ended', () => {
		doTest([
			{holder: 'a', at: 0, sequence: 1},
			{holder: 'b', at: termMilliseconds + windowMilliseconds - 1, sequence: 1},
			{holder: 'b', at: termMilliseconds + windowMilliseconds, sequence: 2},
		], [20, 0, 20]);
	});
	test('counts the part of an entry that returns its lease for the window', () => {
		doTest([
			{holder: 'a', at: 0, sequence: 1},
			{
				holder: 'a', at: 10, sequence: 2, acknowledged: 1, part: 20, isFinal: true,
			},
			{holder: 'b', at: 10 + windowMilliseconds - 1, sequence: 1},
			{holder: 'b', at: 10 + windowMilliseconds, sequence: 2},
		], [20, 0, 0, 20]);
	});
	test('lets entries keep what they hold from an earlier leader, and lends nothing else meanwhile', () => {
		doTest([
			{
				holder: 'a', at: 0, sequence: 7, acknowledged: 6, part: 12,
			},
			{
				holder: 'b', at: 10, sequence: 1,
			},
			{
				holder: 'a', at: 5990, sequence: 8, acknowledged: 7, part: 12,
			},
			{
				holder: 'b', at: 6000, sequence: 2,
			},
		], [12, 0, 12, 8], createAccount(termMilliseconds + windowMilliseconds));
	});
	test('leaves entries of an earlier release their equal parts', () => {
		const account = createAccount();
		account.countEqualPart('old', 4, 0);
		doTest([{holder: 'a', at: 10, sequence: 1}], [15], account);
	});
	test('counts a larger equal part until it has ended', () => {
		const account = createAccount();
		account.countEqualPart('old', 2, 0);
		account.countEqualPart('old', 4, 500);
		doTest([{holder: 'a', at: 510, sequence: 1}], [10], account);
		account.countEqualPart('old', 4, 6000);
		doTest([{
			holder: 'a', at: 6010, sequence: 2, acknowledged: 1, part: 10,
		}], [15], account);
	});
	test('leaves a part for an entry that joins', () => {
		doTest([
			{
				holder: 'a', at: 0, sequence: 1, wanted: 0,
			},
			{
				holder: 'b', at: 10, sequence: 1, wanted: 0,
			},
		], [10.5, 7]);
	});
	test('lends nothing to entries without a document, but counts them among those that share', () => {
		doTest([
			{
				holder: 'a', at: 0, sequence: 1, wanted: 0, hasDocument: false,
			},
			{
				holder: 'b', at: 10, sequence: 1, wanted: 0, hasDocument: false,
			},
			{
				holder: 'a', at: 20, sequence: 2, wanted: 0,
			},
			{
				holder: 'b', at: 30, sequence: 2, wanted: 0,
			},
		], [0, 0, 7, 7]);
	});
	test('lends nothing that the attempt that each entry has without a part needs', () => {
		const account = createAccount();
		const parts = Array.from({length: 30}, (_, index) => lend(account, {holder: `e${index}`, at: 0, sequence: 1}));
		expect(parts.reduce((sum, part) => sum + part, 0) <= total).toEqual(true);
		expect(lend(account, {
			holder: 'e0', at: 200, sequence: 2, acknowledged: 1, part: 20,
		})).toEqual(0);
	});
});
