/** Estimates from the requests of a workspace that an entry receives how many tokens it will need before the next ones arrive. */

const millisecondsPerSecond = 1000;

/** Time in milliseconds over which the rate is averaged, with the newest requests weighted most. */
const averagingMilliseconds = 2000;

/** Time in milliseconds without a request after which no more are expected. */
const expectedMilliseconds = 10_000;

/** Requests per second for which no token is wanted beyond the one that is always kept. */
const negligibleRate = 0.2;

/** Meter of the requests of one workspace. */
export type DemandMeter = {
	record(now: number): void;
	/** Gets how many free tokens are wanted: those for a second, and one more. A rate that falls a little changes nothing, so that it causes no reports. */
	getWanted(now: number): number;
};

/** Creates a meter without requests. */
export function createDemandMeter(): DemandMeter {
	let recordedAt = Number.NEGATIVE_INFINITY;
	let weight = 0;
	let wanted = 0;

	function getWeight(now: number): number {
		return weight * Math.exp((recordedAt - now) / averagingMilliseconds);
	}

	return {
		record(now) {
			weight = getWeight(now) + 1;
			recordedAt = now;
		},
		getWanted(now) {
			const rate = getWeight(now) * millisecondsPerSecond / averagingMilliseconds;
			const next = now < recordedAt + expectedMilliseconds ? Math.ceil(rate - negligibleRate) + 1 : 0;
			if (next > wanted || next < wanted - 1 || next === 0) {
				wanted = next;
			}

			return wanted;
		},
	};
}
