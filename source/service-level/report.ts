/** Messages and summaries of service levels. */

/** What an entry counted for one service in one period. */
export type ServiceCount = {
	readonly service: string;
	readonly total: number;
	/** Requests that failed by the entry's or the servers' fault. */
	readonly failed: number;
	/** Requests answered later than the objective. */
	readonly slow: number;
	/** Latencies in tenths of a millisecond, as an encoded HDR histogram. */
	readonly histogram: string;
};

/** What an entry counted in one period. */
export type BurnReport = {
	readonly kind: 'burnReport';
	readonly entry: string;
	readonly environment: string;
	/** Start of the period, wall-clock milliseconds. */
	readonly startedAt: number;
	readonly services: readonly ServiceCount[];
};

/** Burn of one service in one window. */
export type BurnWindow = {
	readonly window: string;
	readonly minutes: number;
	readonly total: number;
	readonly failed: number;
	readonly slow: number;
	/** Speed at which the availability budget is spent; 1 spends it exactly over the objective's period. */
	readonly availabilityBurn: number;
	readonly latencyBurn: number;
};

/** Burn of one service. */
export type ServiceBurn = {
	readonly service: string;
	readonly objective: {readonly availability: number; readonly latencyMilliseconds: number; readonly latencyShare: number};
	readonly windows: readonly BurnWindow[];
	/** Share of the three-day availability budget that is left; negative when overspent. */
	readonly budgetLeft: number;
	/** Latencies of the last hour in milliseconds, merged over all entries. */
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	/** Failed share per period of the last hour, oldest first. */
	readonly recent: readonly number[];
	readonly isBurning: boolean;
};

/** Burn of every service of an environment. */
export type BurnSummary = {readonly environment: string; readonly services: readonly ServiceBurn[]};

/** Length of a period in milliseconds. */
export const periodMilliseconds = 10_000;
