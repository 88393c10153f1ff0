/** Estimates how many requests of a workspace an entry receives a second, and whether it has received any lately. */

const millisecondsPerSecond = 1000;

/** Time in milliseconds over which the rate is averaged, with the newest requests weighted most. */
const averagingMilliseconds = 2000;

/** Time in milliseconds without a request after which no more are expected. */
const expectedMilliseconds = 10_000;

/** Meter of the requests of one workspace. */
export type DemandMeter = {
	record(now: number): void;
	/** Gets the expected requests per second. */
	getRate(now: number): number;
	/** Checks whether requests are expected. */
	isExpected(now: number): boolean;
};

/** Creates a meter without requests. */
export function createDemandMeter(): DemandMeter {
	let recordedAt = Number.NEGATIVE_INFINITY;
	let weight = 0;

	function getWeight(now: number): number {
		return weight * Math.exp((recordedAt - now) / averagingMilliseconds);
	}

	return {
		record(now) {
			weight = getWeight(now) + 1;
			recordedAt = now;
		},
		getRate: now => getWeight(now) * millisecondsPerSecond / averagingMilliseconds,
		isExpected: now => now < recordedAt + expectedMilliseconds,
	};
}
