import {describe, test} from 'node:test';
import {expect} from 'earl';
import {
	createRun, entryCount, getCalm, getRefusedShare, leaderEndsAt, leaderGapMilliseconds,
} from '../../stand-in/model/quota-replay.js';
import {playQuotas} from '../../stand-in/model/quota-system.js';

/** Target for the bytes that quotas cost an entry, in both directions. */
const targetBytesPerSecond = 500;

/** Target for the share of the requests within their quota that are refused in the three seconds after a change of leader. */
const targetRefusedShare = 0.01;

// Guards against quotas that cost more than their targets. Both are known faults, listed in KNOWN-RED.txt.
describe('targets of quotas with 150 entries and 90 workspaces', () => {
	test('less than 0.5 KB a second for an entry', async () => {
		const seconds = 10;
		const run = await playQuotas(createRun([], seconds * 1000));
		expect(run.bytes / entryCount / seconds < targetBytesPerSecond).toEqual(true);
	});
	test('less than a hundredth refused in the three seconds after a change of leader', async () => {
		const run = await playQuotas(createRun([{
			kind: 'replaceLeader', at: leaderEndsAt, gapMilliseconds: leaderGapMilliseconds, isNoticed: false,
		}], 16_000));
		const startedAt = leaderEndsAt + leaderGapMilliseconds;
		expect(getRefusedShare(getCalm(run, startedAt, startedAt + 3000)) < targetRefusedShare).toEqual(true);
	});
});
