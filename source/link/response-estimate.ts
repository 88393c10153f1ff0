/**
 * Estimates the next large response of a route from recent ones: its size, and the time until a server has it. Both vary from
 * response to response, so the estimate follows their mean over about the last ten.
 */

/** Weight of the newest response in the moving averages. */
const smoothingFactor = 0.1;

/** Estimate for one route. */
export type ResponseEstimate = {
	/** Records the size of a response, in bytes. */
	recordSize(bytes: number): void;
	/** Records the time from the admission of a request until its response began, in milliseconds. */
	recordWait(milliseconds: number): void;
	/** Gets the estimated size in bytes, or undefined before the first response. */
	getSize(): number | undefined;
	/** Gets the estimated time until a response begins, in milliseconds; 0 before the first one. */
	getWait(): number;
};

/** Creates the estimate for a route without responses. */
export function createResponseEstimate(): ResponseEstimate {
	let size: number | undefined;
	let wait: number | undefined;
	return {
		recordSize(bytes) {
			size = average(size, bytes);
		},
		recordWait(milliseconds) {
			wait = average(wait, milliseconds);
		},
		getSize: () => size,
		getWait: () => wait ?? 0,
	};
}

function average(mean: number | undefined, value: number): number {
	return mean === undefined ? value : mean + ((value - mean) * smoothingFactor);
}
