/** Replays a day of 150 entries and 90 workspaces, some of which send a multiple of their usual load. */
import {createRandom, type Random} from '../../source/randomness/index.js';
import {
	type QuotaFault, type QuotaRequest, type QuotaRun, type QuotaRunOptions,
} from './quota-run.js';

/** Number of entries of the replay. */
export const entryCount = 150;
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

/** Time at which the leader ends in a replay of its loss. */
export const leaderEndsAt = 9000;
/** Time without a leader. */
export const leaderGapMilliseconds = 700;

function chooseEntries(random: Random, count: number): readonly number[] {
	const chosen = new Set<number>();
	while (chosen.size < count) {
		chosen.add(Math.floor(random() * entryCount));
	}

	return [...chosen];
}

/**
 * Creates the options of a replay.
 * @param faults - Faults of the day.
 * @param milliseconds - Length of the day.
 */
export function createRun(faults: readonly QuotaFault[], milliseconds: number): QuotaRunOptions {
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

/**
 * Gets the requests of workspaces within their quota in a time.
 * @param run - Requests of a replay.
 * @param from - Start of the time.
 * @param to - End of the time.
 */
export function getCalm({requests}: QuotaRun, from: number, to: number): readonly QuotaRequest[] {
	const hotNames = new Set([...hotWorkspaces].map(rank => `workspace${rank}`));
	return requests.filter(({at, workspace}) => at >= from && at < to && !hotNames.has(workspace));
}

/**
 * Gets the share of requests that were refused.
 * @param requests - Requests of a replay.
 */
export function getRefusedShare(requests: readonly QuotaRequest[]): number {
	return requests.filter(({kind}) => kind !== 'passed').length / requests.length;
}
