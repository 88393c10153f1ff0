/** Load that recent failures of a server add, so that a server that fails fast does not attract requests. It decays over time. */

/** Time constant of the exponential decay, in milliseconds; after this time a failure counts for about a third. */
const decayMilliseconds = 1000;

/** Load below which failures no longer count. */
const negligibleLoad = 0.01;

/** Load of recent failures. */
export type FailureLoad = {
	add(load: number, now: number, maximum?: number): void;
	get(now: number): number;
};

/** Creates the load of a server without failures. */
export function createFailureLoad(): FailureLoad {
	let load = 0;
	let decayedAt = 0;

	function get(now: number): number {
		load = load < negligibleLoad ? 0 : load * Math.exp((decayedAt - now) / decayMilliseconds);
		decayedAt = now;
		return load;
	}

	return {
		add(added, now, maximum = Number.POSITIVE_INFINITY) {
			load = Math.min(get(now) + added, maximum);
		},
		get: now => load === 0 ? 0 : get(now),
	};
}
