import {describe, test} from 'node:test';
import {expect} from 'earl';
import {
	type QuotaFault, type QuotaRequest, type QuotaRun, type QuotaRunOptions,
} from '../../stand-in/model/quota-run.js';
import {playQuotas} from '../../stand-in/model/quota-system.js';
import {createRandom, type Random} from '../randomness/index.js';

const entryCount = 150;
const workspaceCount = 90;
const requestsPerSecond = 725;
const seed = 6101;

/** Quota as a multiple of the usual load, and the burst as a share of the rate. */
const quotaFactor = 1.6;
const burstShare = 0.1;
const smallestRate = 2;

/** Entries that the callers of a workspace reach, for each of its requests per second. */
const entriesPerRequest = 6;

/** Workspaces that send a multiple of their usual load in the last six of each ten seconds. */
const hotWorkspaces = new Set([3, 12, 60, 85]);
const hotFactor = 9.5;

const leaderEndsAt = 9000;
const leaderGapMilliseconds = 700;

function chooseEntries(random: Random, count: number): readonly number[] {
	const chosen = new Set<number>();
	while (chosen.size < count) {
		chosen.add(Math.floor(random() * entryCount));
	}

	return [...chosen];
}

function createRun(faults: readonly QuotaFault[], milliseconds: number): QuotaRunOptions {
	const random = createRandom(seed);
	const weights = Array.from({length: workspaceCount}, (_, rank) => (rank + 1) ** -1.2);
	const sum = weights.reduce((total, weight) => total + weight, 0);
	const loads = weights.map(weight => requestsPerSecond * weight / sum);
	return {
		seed,
		milliseconds,
		entryCount,
		workspaces: loads.map((load, rank) => {
			const rate = Math.max(smallestRate, Math.round(load * quotaFactor));
			return {name: `workspace${rank}`, keyDigests: [], quota: {requestsPerSecond: rate, burst: Math.ceil(rate * burstShare)}};
		}),
		entriesByWorkspace: loads.map(load => chooseEntries(random, Math.min(entryCount, Math.max(2, Math.round(load * entriesPerRequest))))),
		tolerance: {windowSeconds: 5, overshoot: 0.1, slack: 20},
		links: {
			lossShare: 0.04, isRepeating: true, doubledShare: 0, lateShare: 0, lateMilliseconds: 0, latencyMilliseconds: 0.6,
		},
		faults,
		mistake: 'none',
		isDisturbed: false,
		getLoad: (workspace, now) => loads[workspace]! * (hotWorkspaces.has(workspace) && now % 10_000 >= 4000 ? hotFactor : 1),
	};
}

/** Gets the requests of workspaces within their quota in a time. */
function getCalm({requests}: QuotaRun, from: number, to: number): readonly QuotaRequest[] {
	const hotNames = new Set([...hotWorkspaces].map(rank => `workspace${rank}`));
	return requests.filter(({at, workspace}) => at >= from && at < to && !hotNames.has(workspace));
}

function getRefusedShare(requests: readonly QuotaRequest[]): number {
	return requests.filter(({kind}) => kind !== 'passed').length / requests.length;
}

// Guards against quotas that cost more than they are worth, and against workspaces that are refused although they keep within theirs.
describe('a day of 150 entries and 90 workspaces, four of which send 9.5 times their usual load', () => {
	test('keeps the bound, and refuses and delays nearly nothing else while the leader stays', async () => {
		const kills = Array.from({length: entryCount / 10}, (_, index) => [
			{kind: 'kill' as const, at: 5000, entry: index * 10}, {kind: 'restart' as const, at: 6500, entry: index * 10},
		]).flat();
		const run = await playQuotas(createRun(kills, 10_000));
		const calm = getCalm(run, 2000, 10_000);
		const waits = calm.filter(({kind}) => kind === 'passed').map(({waitedMilliseconds}) => waitedMilliseconds).toSorted((left, right) => left - right);
		const bytesPerEntryAndSecond = run.bytes / entryCount / 10;
		expect(run.largestShare <= 1 && run.largestShare > 0.8).toEqual(true);
		expect(getRefusedShare(calm) < 0.001).toEqual(true);
		expect(waits[Math.floor(waits.length / 2)]! <= 2).toEqual(true);
		expect(bytesPerEntryAndSecond < 1300).toEqual(true);
	});
	test('keeps the bound when the leader changes, and refuses a fifth of what is within the quotas in the next three seconds', async () => {
		const run = await playQuotas(createRun([{
			kind: 'replaceLeader', at: leaderEndsAt, gapMilliseconds: leaderGapMilliseconds, isNoticed: false,
		}], 16_000));
		const startedAt = leaderEndsAt + leaderGapMilliseconds;
		expect(run.largestShare <= 1).toEqual(true);
		expect(getRefusedShare(getCalm(run, startedAt, startedAt + 3000)) < 0.25).toEqual(true);
		expect(getRefusedShare(getCalm(run, startedAt + 3000, 16_000)) < 0.02).toEqual(true);
	});
});
