/** What an entry keeps to hedge the slow requests of one service: the budget, the recent latencies of its routes and the loads that its servers state. */
import {type Service} from '../../configuration/index.js';
import {
	createHedgeBudget, createLatencyHistogram, getHedgeTimes, hedgeShare, type AttemptBudget, type GetHedgeTimes, type HedgeBudget, type HedgeTimes, type LatencyHistogram,
} from '../../retry/index.js';
import {type EntrySettings} from '../../settings/index.js';
import {type RoutePolicy} from '../routing/index.js';
import {createStatedLoads, type StatedLoads} from './stated-loads.js';

/** Limits of the hedges of an entry. */
export type HedgingOptions = {
	/** Share of the requests that may be hedged, in place of the one that the document sets; a service that sets 0 has no hedges. */
	readonly ratio?: number | undefined;
	/** Largest share, so that the budget of extra attempts keeps a reserve for retries. */
	readonly maximumRatio: number;
	/** Gets the times at which an attempt is checked; by the latencies of its route by default. */
	readonly getTimes?: GetHedgeTimes;
};

/** State for the hedges of one service. */
export type ServiceHedging = {
	readonly budget: HedgeBudget;
	readonly loads: StatedLoads;
	/** Gets the share of the requests that may be hedged. */
	getRatio(): number;
	/** Gets the latencies of recent attempts of a route. */
	getLatencies(route: RoutePolicy): LatencyHistogram;
	/** Gets the times of an attempt of a route that starts now, or undefined if it must not be hedged. */
	getTimes(route: RoutePolicy): HedgeTimes | undefined;
};

/**
 * Gets the limits of the hedges of an entry, or undefined if its settings ask for none.
 * @param settings - Settings of the entry.
 */
export function getHedgingOptions({hedging, attemptBudget}: Pick<EntrySettings, 'hedging' | 'attemptBudget'>): HedgingOptions | undefined {
	return hedging === undefined ? undefined : {ratio: hedging.ratio, maximumRatio: attemptBudget === undefined ? 1 : attemptBudget.ratio * hedgeShare};
}

/**
 * Creates the state of a service without requests.
 * @param options - Limits of the entry.
 * @param getService - Gets the service of the document in force.
 * @param sharedBudget - Part of the hedges in the budget that all entries share, if there is one.
 */
export function createServiceHedging(options: HedgingOptions, getService: () => Service, sharedBudget: Pick<AttemptBudget, 'getBalance' | 'tryWithdraw'> | undefined): ServiceHedging {
	const {ratio, maximumRatio, getTimes = getHedgeTimes} = options;
	/** Routes are replaced with each document, and their latencies then count anew. */
	const latenciesByRoute = new WeakMap<RoutePolicy, LatencyHistogram>();

	function getRatio(): number {
		const {hedgeRatio} = getService();
		return hedgeRatio === 0 ? 0 : Math.min(ratio ?? hedgeRatio, maximumRatio);
	}

	function getLatencies(route: RoutePolicy): LatencyHistogram {
		const latencies = latenciesByRoute.get(route) ?? createLatencyHistogram();
		latenciesByRoute.set(route, latencies);
		return latencies;
	}

	return {
		budget: createHedgeBudget(getRatio, sharedBudget),
		loads: createStatedLoads(),
		getRatio,
		getLatencies,
		getTimes: route => getTimes({latencies: getLatencies(route), targetMilliseconds: route.targetMilliseconds, ratio: getRatio()}),
	};
}
