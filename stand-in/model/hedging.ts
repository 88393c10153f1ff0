/**
 * Replays requests that entries hedge, in virtual time: the handling of requests of all entries, callers that do not wait for one
 * another, and servers a quarter of which are five times slower at any time.
 */
import {documentSchema, type EnvironmentDocument} from '../../source/configuration/index.js';
import {type HedgingOptions} from '../../source/entry/fleet/index.js';
import {createRandom} from '../../source/randomness/index.js';
import {type GetHedgeTimes} from '../../source/retry/index.js';
import {createEntryModel} from './entry.js';
import {createUpstreamModel} from './upstream.js';
import {startVirtualTime} from './virtual-time.js';

const zones = ['north', 'south', 'east'];
const housekeepingMilliseconds = 50;
const okStatus = 200;
const serviceJitterShare = 0.3;
const timeoutTargetShare = 5;

/** Mean speed of a host, a quarter of whose time is five times as slow. */
const meanHostSpeed = 0.8;

/** Requests at once up to which a server works at full speed, and how much slower it is beyond them. */
const kneeShare = 0.8;
const kneeSlowdown = 1.7;

/** Servers and work of a deployment. */
export type Workload = {
	readonly servers: number;
	readonly slots: number;
	readonly queueLength: number;
	readonly meanServiceMilliseconds: number;
	readonly targetMilliseconds: number;
	/** Whether a request keeps the slowness that its host has when it starts to run. */
	readonly isSlownessFixedAtStart: boolean;
	/** Share of the attempts that are never answered. */
	readonly lostShare: number;
};

/** A service with servers of two slots, as in a ledger. */
export const ledgerWorkload: Workload = {
	servers: 120, slots: 2, queueLength: 4, meanServiceMilliseconds: 110, targetMilliseconds: 400, isSlownessFixedAtStart: false, lostShare: 0,
};

/** A service with servers of six slots that refuse when full, as in an archive. */
export const archiveWorkload: Workload = {
	servers: 60, slots: 6, queueLength: 1, meanServiceMilliseconds: 220, targetMilliseconds: 600, isSlownessFixedAtStart: false, lostShare: 0,
};

/** How entries hedge: as without the setting, or within a share of the requests, by the given times or by those of the product. */
export type HedgingPolicy = {readonly ratio: number; readonly getTimes?: GetHedgeTimes} | 'without-setting';

/** Options of `replayHedging`. */
export type HedgingReplayOptions = {
	readonly seed: number;
	readonly entries: number;
	/** Rate of requests as a share of what all servers can process. */
	readonly load: number;
	readonly workload: Workload;
	readonly policy: HedgingPolicy;
	/** Time during which requests arrive. */
	readonly arrivalMilliseconds: number;
	/** Time from which on requests are measured, so that entries know the latencies. */
	readonly measuredFromMilliseconds: number;
};

/** Result of a replay, of the requests that were measured. */
export type HedgingReplayResult = {
	readonly requests: number;
	readonly refused: number;
	readonly meanMilliseconds: number;
	readonly p50Milliseconds: number;
	readonly p99Milliseconds: number;
	readonly p999Milliseconds: number;
	/** Share of the requests that were not answered within the target. */
	readonly missedShare: number;
	readonly hedgeShare: number;
	readonly retryShare: number;
	/** Work of cancelled attempts, as a share of the work of the requests. */
	readonly cancelledWorkShare: number;
	readonly queriesPerRequest: number;
};

/** Hedges after a fixed share of the target. */
export function getFixedTimes({targetMilliseconds = Number.POSITIVE_INFINITY}: Parameters<GetHedgeTimes>[0]): ReturnType<GetHedgeTimes> {
	return createTimes(targetMilliseconds / 2);
}

/** Hedges after the latency that as many attempts exceed as may be hedged. */
export function getQuantileTimes({latencies, ratio}: Parameters<GetHedgeTimes>[0]): ReturnType<GetHedgeTimes> {
	return latencies.getCount() === 0 ? undefined : createTimes(latencies.getQuantile(1 - ratio));
}

/** Sends both attempts at nearly the same time, as tied requests. */
export function getTiedTimes(): ReturnType<GetHedgeTimes> {
	return createTimes(1);
}

function createTimes(first: number): ReturnType<GetHedgeTimes> {
	return {
		first, certain: first, overdue: first * 2, interval: Number.POSITIVE_INFINITY,
	};
}

function createDocument(targetMilliseconds: number): EnvironmentDocument {
	return documentSchema.parse({
		zones: zones.map(name => ({name})),
		services: [{
			name: 'stock', askedCandidates: 3, askMilliseconds: 12, queueLength: 200, hedgeRatio: 0.05,
		}],
		routes: [{
			name: 'look', path: '/', parts: [{service: 'stock', weight: 1}], isIdempotent: true, timeoutMilliseconds: targetMilliseconds * timeoutTargetShare, targetMilliseconds, attempts: 3,
		}],
	});
}

function getHedgingOptions(policy: HedgingPolicy): HedgingOptions | undefined {
	return policy === 'without-setting' ? undefined : {maximumRatio: 1, ...policy};
}

/**
 * Replays requests under a policy.
 * @param options - Entries, load, workload and policy.
 */
export async function replayHedging(options: HedgingReplayOptions): Promise<HedgingReplayResult> {
	const {seed, workload} = options;
	const {servers, slots, meanServiceMilliseconds, targetMilliseconds} = workload;
	// Arrivals have their own random numbers, so that they are the same with every policy.
	const arrivalRandom = createRandom(seed);
	const random = createRandom(seed + 1);
	const document = createDocument(targetMilliseconds);
	const time = startVirtualTime();
	const upstreams = Array.from({length: servers}, (_, index) => createUpstreamModel({
		name: `stock-${index + 1}`, zone: zones[index % zones.length]!, withdrawals: [], random: createRandom(seed + 2 + index), ...workload,
	}));
	const latencies: number[] = [];
	const counts = {
		first: 0, retry: 0, hedge: 0, queries: 0, work: 0, cancelledWork: 0, refused: 0,
	};

	function isMeasured(): boolean {
		return time.getNow() >= options.measuredFromMilliseconds && time.getNow() < options.arrivalMilliseconds;
	}

	function count(name: keyof typeof counts, amount = 1): void {
		counts[name] += isMeasured() ? amount : 0;
	}

	const entries = Array.from({length: options.entries}, (_, number) => createEntryModel({
		number,
		entryCount: options.entries,
		zone: zones[number % zones.length]!,
		document,
		upstreams,
		random,
		connectMilliseconds: 0,
		knowsStatements: true,
		hedging: getHedgingOptions(options.policy),
		onStatement() {
			// Statements are not measured.
		},
		onQuery() {
			count('queries');
		},
		onAttemptKind: count,
		onCancelledWork(milliseconds) {
			count('cancelledWork', milliseconds);
		},
	}));

	function send(id: number, sentAt: number): void {
		const serviceMilliseconds = meanServiceMilliseconds * (1 + (serviceJitterShare * ((arrivalRandom() * 2) - 1)));
		const isInPeriod = isMeasured();
		count('work', serviceMilliseconds);
		entries[Math.floor(arrivalRandom() * entries.length)]!.handle({
			id: `r-${id}`, path: '/look', deadlineMilliseconds: targetMilliseconds * timeoutTargetShare, serviceMilliseconds, onResponse({status}) {
				if (isInPeriod && status === okStatus) {
					latencies.push(time.getNow() - sentAt);
				} else if (isInPeriod) {
					counts.refused++;
				}
			},
		});
	}

	const throughput = Math.max(Math.floor(slots * kneeShare), slots / kneeSlowdown) * meanHostSpeed / meanServiceMilliseconds;
	const requestsPerMillisecond = options.load * servers * throughput;
	let nextArrivalAt = 0;
	let sent = 0;
	try {
		for (let now = 0; now < options.arrivalMilliseconds + (targetMilliseconds * timeoutTargetShare); now = time.getNow()) {
			for (const upstream of upstreams) {
				upstream.advance(now);
			}

			for (; nextArrivalAt <= now && nextArrivalAt < options.arrivalMilliseconds; nextArrivalAt -= Math.log(1 - arrivalRandom()) / requestsPerMillisecond) {
				send(++sent, now);
			}

			if (now % housekeepingMilliseconds === 0) {
				for (const entry of entries) {
					entry.keepHouse();
				}
			}

			await time.advance();
		}
	} finally {
		time.stop();
	}

	return summarize(latencies, counts, targetMilliseconds);
}

type Counts = Readonly<Record<'cancelledWork' | 'hedge' | 'queries' | 'refused' | 'retry' | 'work', number>>;

function summarize(latencies: readonly number[], counts: Counts, targetMilliseconds: number): HedgingReplayResult {
	const sorted = latencies.toSorted((left, right) => left - right);
	const requests = latencies.length + counts.refused;
	const getPercentile = (share: number): number => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
	return {
		requests,
		refused: counts.refused,
		meanMilliseconds: sorted.reduce((sum, latency) => sum + latency, 0) / sorted.length,
		p50Milliseconds: getPercentile(0.5),
		p99Milliseconds: getPercentile(0.99),
		p999Milliseconds: getPercentile(0.999),
		missedShare: 1 - (sorted.filter(latency => latency <= targetMilliseconds).length / requests),
		hedgeShare: counts.hedge / requests,
		retryShare: counts.retry / requests,
		cancelledWorkShare: counts.cancelledWork / counts.work,
		queriesPerRequest: counts.queries / requests,
	};
}
