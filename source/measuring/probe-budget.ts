/** Turns the measuring budget of a document into the time between probes of one server. */

const millisecondsPerSecond = 1000;

/**
 * Factor by which probes are spaced wider than the budget's rate, so that no window
 * of one second holds more probes than the budget even when one is delayed.
 */
const spacingFactor = 1.25;

/** Probes that are allowed. */
export type ProbeBudget = {
	readonly probesPerSecondPerServer: number;
	readonly probesPerSecond: number;
};

/**
 * Gets the time between two probes of one server in milliseconds, or infinity when none are allowed.
 * @param budget - Budget of the document.
 * @param servers - Number of servers that share the budget.
 */
export function getProbeIntervalMilliseconds(budget: ProbeBudget, servers: number): number {
	const rate = Math.min(budget.probesPerSecondPerServer, budget.probesPerSecond / Math.max(1, servers));
	return rate <= 0 ? Number.POSITIVE_INFINITY : millisecondsPerSecond * spacingFactor / rate;
}
