/**
 * Compares policies of hedging in a replay with virtual time: none, without the setting, after a fixed share of the target, after a quantile of
 * the latencies, with both attempts at once, and by the stated slowness as in the product.
 */
import {
	archiveWorkload, getFixedTimes, getQuantileTimes, getTiedTimes, ledgerWorkload, replayHedging, type HedgingPolicy, type Workload,
} from '../stand-in/model/hedging.js';
import {type BenchOptions, type BenchReport, type BenchRow} from './report.js';

const defaultRatio = 0.05;
const defaultEntries = 20;
const defaultConditions = ['ledger 0.3', 'ledger 0.9'];

/** Share of the attempts that are never answered, where a condition says so. */
const lostShare = 0.01;

/** Time in which entries learn the latencies and save hedges, which takes longer the fewer requests each of them has. */
const learningMillisecondsPerEntry = 250;
const minimumLearningMilliseconds = 25_000;

const policies: Readonly<Record<string, (ratio: number) => HedgingPolicy>> = {
	none: () => ({ratio: 0}),
	'without-setting': () => 'without-setting',
	fixed: ratio => ({ratio, getTimes: getFixedTimes}),
	quantile: ratio => ({ratio, getTimes: getQuantileTimes}),
	tied: ratio => ({ratio, getTimes: getTiedTimes}),
	stated: ratio => ({ratio}),
};

const workloads: Readonly<Record<string, Workload>> = {ledger: ledgerWorkload, archive: archiveWorkload};

/** Reads a condition: workload, load, and `lost` or `start` for the share of lost attempts and the slowness at their start. */
function parseCondition(condition: string): {readonly load: number; readonly workload: Workload} {
	const [name = '', load = '', ...variants] = condition.split(' ');
	const workload = workloads[name];
	if (workload === undefined) {
		throw new Error(`there is no workload "${name}"; use one of ${Object.keys(workloads).join(', ')}`);
	}

	return {
		load: Number(load), workload: {...workload, isSlownessFixedAtStart: variants.includes('start'), lostShare: variants.includes('lost') ? lostShare : 0},
	};
}

/** Reads a policy with the share of requests that may be hedged, as in `stated 0.1`. */
function parsePolicy(text: string): HedgingPolicy {
	const [name = '', ratio = defaultRatio] = text.split(' ');
	const create = policies[name];
	if (create === undefined) {
		throw new Error(`there is no policy "${name}"; use one of ${Object.keys(policies).join(', ')}`);
	}

	return create(Number(ratio));
}

/**
 * Runs the comparison.
 * @param options - Seed, policies, conditions and number of entries.
 */
export async function runHedging(options: BenchOptions): Promise<BenchReport> {
	const rows: BenchRow[] = [];
	const entries = options.entryCount ?? defaultEntries;
	const measuredFromMilliseconds = options.isQuick ? 8000 : Math.max(minimumLearningMilliseconds, entries * learningMillisecondsPerEntry);
	const names = options.policies.length === 0 ? Object.keys(policies) : options.policies;
	for (const condition of options.conditions.length === 0 ? defaultConditions : options.conditions) {
		for (const policy of names) {
			const {refused, requests, ...result} = await replayHedging({
				seed: options.seed,
				entries,
				policy: parsePolicy(policy),
				arrivalMilliseconds: measuredFromMilliseconds + (options.isQuick ? 12_000 : 35_000),
				measuredFromMilliseconds,
				...parseCondition(condition),
			});
			rows.push({
				condition,
				policy,
				requests,
				refused,
				mean: Math.round(result.meanMilliseconds),
				p50: result.p50Milliseconds,
				p99: result.p99Milliseconds,
				p999: result.p999Milliseconds,
				missed: formatShare(result.missedShare),
				hedges: formatShare(result.hedgeShare),
				retries: formatShare(result.retryShare),
				cancelledWork: formatShare(result.cancelledWorkShare),
				queries: result.queriesPerRequest.toFixed(2),
			});
		}
	}

	return {
		bench: 'hedging', seed: options.seed, rows, targets: [],
	};
}

function formatShare(share: number): string {
	return share.toFixed(4);
}
