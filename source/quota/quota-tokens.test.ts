import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createQuotaTokens, type QuotaTokens} from './quota-tokens.js';

const quota = {requestsPerSecond: 10, burst: 5};

function createTokens(): QuotaTokens {
	const tokens = createQuotaTokens();
	tokens.setWorkspaces([{name: 'one', keyDigests: [], quota}, {name: 'free', keyDigests: []}]);
	return tokens;
}

function grant(tokens: QuotaTokens, {sequence = 1, epoch = 1, granted, mayUse = true}: {readonly sequence?: number; readonly epoch?: number; readonly granted?: number; readonly mayUse?: boolean}): void {
	tokens.applyGrant({sequence, epoch, quota: granted === undefined ? [] : [['one', granted, granted, granted]]}, {
		now: 0, renewedAt: 0, leaseEndsAt: 3000, mayUse,
	});
}

// Guards against reports that a leader never gets, and against tokens that are used although their lease has ended.
describe('createQuotaTokens', () => {
	test('needs tokens for the workspaces with a quota', () => {
		const tokens = createTokens();
		expect([tokens.hasQuota('one'), tokens.hasQuota('free'), tokens.hasQuota('unknown')]).toEqual([true, false, false]);
	});
	test('reports nothing if the document has no quota', () => {
		expect(createQuotaTokens().getReports({sequence: 1, isFinal: false}, 0)).toEqual(undefined);
	});
	test('reports a change until a grant answers the renewal that carried it', () => {
		const tokens = createTokens();
		grant(tokens, {granted: 3});
		tokens.getHolder('one').recordDemand(0);
		const reports = [['one', 3, 0, 0, 2]];
		expect(tokens.getReports({sequence: 2, isFinal: false}, 0)).toEqual(reports as never);
		expect(tokens.getReports({sequence: 3, isFinal: false}, 0)).toEqual(reports as never);
		grant(tokens, {sequence: 2});
		expect(tokens.getReports({sequence: 4, isFinal: false}, 0)).toEqual(reports as never);
		grant(tokens, {sequence: 4});
		expect(tokens.getReports({sequence: 5, isFinal: false}, 0)).toEqual([]);
	});
	test('gives back all tokens with the last renewal, and when a document changes the quota', () => {
		const tokens = createTokens();
		grant(tokens, {granted: 3});
		tokens.getHolder('one').recordDemand(0);
		tokens.setWorkspaces([{name: 'one', keyDigests: [], quota: {...quota, burst: 4}}]);
		expect(tokens.getHeld()).toEqual(0);
		grant(tokens, {sequence: 2, granted: 5});
		expect(tokens.getReports({sequence: 3, isFinal: true}, 0)).toEqual([['one', 5, 5, 5, 7]]);
	});
	test('holds no tokens that were lent before a suspension', () => {
		const tokens = createTokens();
		grant(tokens, {granted: 3, mayUse: false});
		expect(tokens.getHeld()).toEqual(0);
		grant(tokens, {sequence: 2, granted: 4});
		expect(tokens.getHeld()).toEqual(1);
	});
	test('owes a report to a new leader', () => {
		const tokens = createTokens();
		grant(tokens, {granted: 3});
		tokens.getReports({sequence: 2, isFinal: false}, 0);
		expect(tokens.isReportOwed()).toEqual(false);
		grant(tokens, {sequence: 2, epoch: 2});
		expect(tokens.isReportOwed()).toEqual(true);
	});
	test('asks no leader of an earlier release, whose grants answer reports without tokens', () => {
		const tokens = createTokens();
		expect(tokens.mayAsk()).toEqual(true);
		tokens.getReports({sequence: 1, isFinal: false}, 0);
		tokens.applyGrant({sequence: 1, epoch: 1}, {
			now: 0, renewedAt: 0, leaseEndsAt: 3000, mayUse: true,
		});
		expect(tokens.mayAsk()).toEqual(false);
	});
});
