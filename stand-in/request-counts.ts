/** Counts of the requests of a stand-in server, which a bench resets between its conditions. */

/** Counts of requests. */
export type RequestCounts = {
	/** Counts a request that begins, and returns the number in flight with it. */
	begin(): number;
	end(): void;
	/** Counts a request beyond the capacity of the cold server. */
	countOverload(): void;
	getInFlight(): number;
	/** Gets the largest number of requests in flight since the last reset. */
	getMaximumInFlight(): number;
	getOverloadCount(): number;
	getRequestCount(): number;
	reset(): void;
};

/** Creates counts of nothing. */
export function createRequestCounts(): RequestCounts {
	let inFlight = 0;
	let maximumInFlight = 0;
	let overloads = 0;
	let requests = 0;
	return {
		begin() {
			requests++;
			inFlight++;
			maximumInFlight = Math.max(maximumInFlight, inFlight);
			return inFlight;
		},
		end() {
			inFlight--;
		},
		countOverload() {
			overloads++;
		},
		getInFlight: () => inFlight,
		getMaximumInFlight: () => maximumInFlight,
		getOverloadCount: () => overloads,
		getRequestCount: () => requests,
		reset() {
			maximumInFlight = inFlight;
			overloads = 0;
			requests = 0;
		},
	};
}
