import {describe, test} from 'node:test';
import {expect} from 'earl';
import {playSlackRun, type SlackFault} from './slack-simulation.js';

const firstSeed = 4001;
const runCount = 40;

describe('createSlackAccount: parts of a slack while leaders replace each other and entries are lost', () => {
	function play(fault: SlackFault): ReadonlyArray<ReturnType<typeof playSlackRun>> {
		return Array.from({length: runCount}, (_, index) => playSlackRun(firstSeed + index, fault));
	}

	function doTest(fault: SlackFault): void {
		const exceeding = play(fault).filter(run => run.largestShare > 1 + 1e-6);
		expect(exceeding.length > 0).toEqual(true);
	}

	test('never exceed the slack together, and go where they are wanted', () => {
		const runs = play('none');
		expect(runs.map(({largestShare}) => largestShare).filter(share => share > 1 + 1e-6)).toEqual([]);
		expect(runs.filter(({largestShare}) => largestShare > 0.7).length > runCount / 2).toEqual(true);
		expect(runs.filter(({largestPart}) => largestPart > 10).length > runCount / 2).toEqual(true);
	});
	test('exceed it if the part of a lost holder is lent again when its lease ends', () => {
		doTest('forgets-lost-holders');
	});
	test('exceed it if a new leader lends what the earlier one may have lent', () => {
		doTest('new-leader-lends');
	});
	test('exceed it if only the newest grant counts, acknowledged or not', () => {
		doTest('counts-newest-grant');
	});
	test('exceed it if entries do not report what they used', () => {
		doTest('reports-nothing-used');
	});
	test('exceed it if the equal parts of an earlier release do not count', () => {
		doTest('counts-no-equal-parts');
	});
	test('exceed it if a process that starts again passes for the earlier one', () => {
		doTest('restart-is-same-holder');
	});
});
