/** Converts the probe budget of an environment document into the interval between probes of one server. */

const millisecondsPerSecond = 1000;

/**
 * Factor by which the interval exceeds that of the budget's rate, so that no window of one second
 * contains more probes than the budget even if one is delayed.
 */
const spacingFactor = 1.25;

/** Maximum rates of probes. */
export type ProbeBudget = {
	readonly probesPerSecondPerServer: number;
	readonly probesPerSecond: number;
};

/**
 * Gets the interval between two probes of one server in milliseconds, or infinity if no probes are allowed.
 * @param budget - Budget of the environment document.
 * @param servers - Number of servers that share the budget.
 */
export function getProbeIntervalMilliseconds(budget: ProbeBudget, servers: number): number {
	const rate = Math.min(budget.probesPerSecondPerServer, budget.probesPerSecond / Math.max(1, servers));
	return rate <= 0 ? Number.POSITIVE_INFINITY : millisecondsPerSecond * spacingFactor / rate;
}
