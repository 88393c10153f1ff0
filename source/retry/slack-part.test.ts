import {describe, test} from 'node:test';
import {expect} from 'earl';
import {type SlackGrant} from '../lease/index.js';
import {createSlackPart} from './index.js';

describe('createSlackPart', () => {
	/** Applies grants one after the other, and takes as many extra attempts as it can. */
	function doTest(grants: ReadonlyArray<SlackGrant | undefined | 'revoked'>, expected: number): void {
		const part = createSlackPart({
			ratio: 0.2, slack: 100, getTime: () => 0, revokeIfNeeded: doNothing,
		});
		const budget = part.getBudget('stock');
		for (const grant of grants) {
			if (grant === 'revoked') {
				part.revoke();
			} else {
				part.apply(grant);
			}
		}

		let attempts = 0;
		while (budget.tryWithdraw()) {
			attempts++;
		}

		expect(attempts).toEqual(expected);
	}

	function doNothing(): void {
		// The lease is valid.
	}

	test('is there at the start of a fault, before any request', () => {
		doTest([{part: 27.2}], 27);
	});
	test('leaves one attempt without a part', () => {
		doTest([], 1);
		doTest([{part: 0.3}], 1);
	});
	test('ends with the lease', () => {
		doTest([{part: 20}, 'revoked'], 1);
	});
	test('ends with a grant of an earlier release', () => {
		doTest([{part: 20}, undefined], 1);
	});
	test('is never raised by a new leader that lets it be kept', () => {
		doTest([{part: 20}, {part: 30, isKept: true}], 20);
		doTest([{part: 20}, {part: 10, isKept: true}], 10);
		doTest([{part: 20}, 'revoked', {part: 30, isKept: true}], 1);
	});
	test('is for each service, also one that was left out of the document for a while', () => {
		const part = createSlackPart({
			ratio: 0.2, slack: 100, getTime: () => 0, revokeIfNeeded: doNothing,
		});
		part.apply({part: 2});
		const taken = ['stock', 'stock', 'price', 'stock', 'price'].map(service => part.getBudget(service).tryWithdraw());
		expect(taken).toEqual([true, true, true, false, true]);
	});
	test('is reported with what was used and refused', () => {
		const part = createSlackPart({
			ratio: 0.2, slack: 100, getTime: () => 0, revokeIfNeeded: doNothing,
		});
		part.apply({part: 2});
		const budget = part.getBudget('stock');
		for (let attempt = 0; attempt < 5; attempt++) {
			budget.tryWithdraw();
		}

		budget.deposit();
		expect(part.getReport(0)).toEqual({
			total: 85, part: 2, used: 2, wanted: 5,
		});
	});
});
