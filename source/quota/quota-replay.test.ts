import {describe, test} from 'node:test';
import {expect} from 'earl';
import {
	createRun, entryCount, getCalm, getRefusedShare, leaderEndsAt, leaderGapMilliseconds,
} from '../../stand-in/model/quota-replay.js';
import {playQuotas} from '../../stand-in/model/quota-system.js';

// Guards against workspaces that are refused although they keep within their quota, and against quotas that are exceeded. The targets that are
// not reached stand in quota-targets.test.ts.
describe('a day of 150 entries and 90 workspaces, four of which send 9.5 times their usual load', () => {
	test('keeps the bound, and refuses and delays nearly nothing else while the leader stays', async () => {
		const kills = Array.from({length: entryCount / 10}, (_, index) => [
			{kind: 'kill' as const, at: 5000, entry: index * 10}, {kind: 'restart' as const, at: 6500, entry: index * 10},
		]).flat();
		const run = await playQuotas(createRun(kills, 10_000));
		const calm = getCalm(run, 2000, 10_000);
		const waits = calm.filter(({kind}) => kind === 'passed').map(({waitedMilliseconds}) => waitedMilliseconds).toSorted((left, right) => left - right);
		expect(run.largestShare <= 1 && run.largestShare > 0.8).toEqual(true);
		expect(getRefusedShare(calm) < 0.001).toEqual(true);
		expect(waits[Math.floor(waits.length / 2)]! <= 2).toEqual(true);
	});
	test('keeps the bound when the leader changes, and refuses less than a hundredth from three seconds after the change on', async () => {
		const run = await playQuotas(createRun([{
			kind: 'replaceLeader', at: leaderEndsAt, gapMilliseconds: leaderGapMilliseconds, isNoticed: false,
		}], 16_000));
		const startedAt = leaderEndsAt + leaderGapMilliseconds;
		expect(run.largestShare <= 1).toEqual(true);
		expect(getRefusedShare(getCalm(run, startedAt + 3000, 16_000)) < 0.01).toEqual(true);
	});
});
