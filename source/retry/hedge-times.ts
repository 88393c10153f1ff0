/**
 * Decides when the server of a running attempt is late enough for a hedge.
 *
 * The load pattern is that of servers which share their hosts: at any time some of them run several times slower, and others a
 * few hundred milliseconds later. Most late responses of a route come from such a slow period, and a few from servers that will
 * not respond at all. The first are known only by the slowness that a server states; the second only by the time that has passed.
 */
import {type LatencyHistogram} from './latency-histogram.js';

/** Number of latencies of a route below which their quantiles are too uncertain for a hedge. */
const minimumLatencies = 20;

/** Number of attempts whose lateness is checked for each one that may be hedged; about one check in five finds a slow server. */
const checksPerHedge = 5;

/** Largest share of attempts whose lateness is checked, so that load queries stay few with a high ratio. */
const maximumCheckedShare = 0.5;

/** Share of the hedges that is kept for attempts which are later than the stated slowness explains. */
const certainHedgeShare = 0.2;

/** Factor by which an attempt exceeds the latencies that count as certainly late if its server has probably lost it. */
const overdueFactor = 2;

/** Time for the load queries before a hedge. */
const queryMilliseconds = 5;

/** Time between two checks of an attempt, as a share of the usual latency; slow periods last about as long as a request. */
const checkIntervalShare = 0.2;

const minimumIntervalMilliseconds = 5;

/** Times of an attempt, in milliseconds since its start. */
export type HedgeTimes = {
	/** From this time on, the attempt is hedged if its server states that it is slow, or if tokens would be lost otherwise. */
	readonly first: number;
	/** From this time on, it is hedged whatever its server states. */
	readonly certain: number;
	/** From this time on, the server has probably lost the request. */
	readonly overdue: number;
	/** Time between the first two checks. */
	readonly interval: number;
};

/** What the times depend on. */
export type HedgeTimesOptions = {
	/** Latencies of recent attempts of the route. */
	readonly latencies: Pick<LatencyHistogram, 'getCount' | 'getQuantile'>;
	/** Target latency of the route, if it has one. */
	readonly targetMilliseconds: number | undefined;
	/** Share of the requests that may be hedged. */
	readonly ratio: number;
};

/** Gets the times of an attempt that starts now, or undefined if it must not be hedged. */
export type GetHedgeTimes = (options: HedgeTimesOptions) => HedgeTimes | undefined;

/**
 * Gets the times from the latencies of the route: the first check is as late as a second server can still meet the target, but
 * neither so early that far more attempts are checked than may be hedged, nor later than the certain time.
 * @param options - Latencies, target and limit.
 */
export function getHedgeTimes({latencies, targetMilliseconds, ratio}: HedgeTimesOptions): HedgeTimes | undefined {
	if (latencies.getCount() < minimumLatencies) {
		return undefined;
	}

	const usual = latencies.getQuantile(0.5);
	const secondAttempt = latencies.getQuantile(0.75) + queryMilliseconds;
	const certain = latencies.getQuantile(1 - (ratio * certainHedgeShare));
	const earliest = latencies.getQuantile(1 - Math.min(maximumCheckedShare, ratio * checksPerHedge));
	return {
		first: Math.min(certain, Math.max(earliest, (targetMilliseconds ?? Number.POSITIVE_INFINITY) - secondAttempt)),
		certain,
		overdue: certain * overdueFactor,
		interval: Math.max(minimumIntervalMilliseconds, usual * checkIntervalShare),
	};
}
