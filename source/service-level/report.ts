/** Service-level reports of entries, and their summary by the control hosts. */

/** Request counts of an entry for one service in one period. */
export type ServiceCount = {
	readonly service: string;
	readonly total: number;
	/** Requests that failed because of the entry or its servers. */
	readonly failed: number;
	/** Requests that took longer than the latency of the objective. */
	readonly slow: number;
	/** Latencies in tenths of a millisecond, as an encoded HDR histogram. */
	readonly histogram: string;
};

/** Request counts of an entry for all services in one period. */
export type BurnReport = {
	readonly kind: 'burnReport';
	readonly entry: string;
	readonly environment: string;
	/** Start of the period, in milliseconds of wall-clock time. */
	readonly startedAt: number;
	readonly services: readonly ServiceCount[];
};

/** Burn rates of one service in one window. */
export type BurnWindow = {
	readonly window: string;
	readonly minutes: number;
	readonly total: number;
	readonly failed: number;
	readonly slow: number;
	/** Burn rate of the availability error budget; at a rate of 1, the budget is exhausted exactly at the end of the objective's period. */
	readonly availabilityBurn: number;
	readonly latencyBurn: number;
};

/** Burn rates of one service. */
export type ServiceBurn = {
	readonly service: string;
	readonly objective: {readonly availability: number; readonly latencyMilliseconds: number; readonly latencyShare: number};
	readonly windows: readonly BurnWindow[];
	/** Remaining share of the three-day availability error budget; negative if it is overspent. */
	readonly budgetLeft: number;
	/** Latency percentiles of the last hour in milliseconds, merged over all entries. */
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	/** Share of failed and slow requests in each minute of the last hour, oldest first. */
	readonly recent: readonly number[];
	/** Whether the availability or the latency burn rate exceeds the threshold in both of the shortest windows. */
	readonly isBurning: boolean;
};

/** Burn rates of every service of an environment. */
export type BurnSummary = {readonly environment: string; readonly services: readonly ServiceBurn[]};

/** Length of the period of a report, in milliseconds. */
export const periodMilliseconds = 10_000;
