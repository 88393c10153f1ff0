/**
 * Estimates quantiles of recent latencies from counts in logarithmic buckets. Each latency weighs a little more than the one
 * before, so that old ones fade and the estimate follows a change of load within some dozens of responses.
 */

/** Number of latencies after which an earlier one weighs about a third. */
const memoryInLatencies = 128;

const bucketsPerDoubling = 4;
const shortestMilliseconds = 0.25;

/** Number of buckets; the last one begins at about two minutes. */
const bucketCount = 76;

/** Weight of the newest latency at which all weights are scaled down, so that they stay finite. */
const maximumWeight = 1e9;

/** Recent latencies. */
export type LatencyHistogram = {
	record(milliseconds: number): void;
	/** Gets the number of recorded latencies. */
	getCount(): number;
	/** Gets the latency that a share of the recent ones did not exceed, or 0 if there is none. */
	getQuantile(share: number): number;
};

/** Creates a histogram without latencies. */
export function createLatencyHistogram(): LatencyHistogram {
	const weights = new Float64Array(bucketCount);
	const growth = Math.exp(1 / memoryInLatencies);
	let nextWeight = 1;
	let total = 0;
	let count = 0;

	function scaleDown(): void {
		for (const [index, weight] of weights.entries()) {
			weights[index] = weight / nextWeight;
		}

		total /= nextWeight;
		nextWeight = 1;
	}

	return {
		record(milliseconds) {
			weights[getBucket(milliseconds)]! += nextWeight;
			total += nextWeight;
			count++;
			nextWeight *= growth;
			if (nextWeight > maximumWeight) {
				scaleDown();
			}
		},
		getCount: () => count,
		getQuantile(share) {
			if (count === 0) {
				return 0;
			}

			let rest = share * total;
			for (const [index, weight] of weights.entries()) {
				if (weight > 0 && rest <= weight) {
					return getLowerEnd(index + (rest / weight));
				}

				rest -= weight;
			}

			return getLowerEnd(bucketCount);
		},
	};
}

function getBucket(milliseconds: number): number {
	const bucket = Math.floor(Math.log2(Math.max(milliseconds, shortestMilliseconds) / shortestMilliseconds) * bucketsPerDoubling);
	return Math.min(bucket, bucketCount - 1);
}

/** Gets the latency at which a bucket begins; between two of them, the latency is interpolated. */
function getLowerEnd(bucket: number): number {
	return shortestMilliseconds * (2 ** (bucket / bucketsPerDoubling));
}
