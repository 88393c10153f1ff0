/** Limits the rate of lines about events that may be frequent. Lines beyond the limit are left out and counted. */

const millisecondsPerSecond = 1000;

/** Limit of the rate of lines. */
export type LineLimit = {
	/** Takes the right to write one line; returns false if the line must be left out. */
	take(): boolean;
	/** Gets the number of lines left out since the last call as a field for the next line, or no field if there were none. */
	takeLeftOut(): {readonly leftOut?: number};
};

/**
 * Creates a limit.
 * @param linesPerSecond - Maximum rate of lines, and of lines at once.
 * @param getTime - Gets the current time in milliseconds.
 */
export function createLineLimit(linesPerSecond: number, getTime: () => number): LineLimit {
	let tokens = linesPerSecond;
	let refilledAt = getTime();
	let leftOut = 0;

	return {
		take() {
			const now = getTime();
			tokens = Math.min(linesPerSecond, tokens + ((now - refilledAt) * linesPerSecond / millisecondsPerSecond));
			refilledAt = now;
			if (tokens < 1) {
				leftOut++;
				return false;
			}

			tokens--;
			return true;
		},
		takeLeftOut() {
			const fields = leftOut > 0 ? {leftOut} : {};
			leftOut = 0;
			return fields;
		},
	};
}
