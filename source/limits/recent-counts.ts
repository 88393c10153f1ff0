/** Counts events by key, with a weight that decays exponentially over time. */

/** Number of keys above which those without recent events are forgotten. */
const maximumKeys = 1000;

/** Count below which a key has no recent events. */
const negligibleCount = 0.01;

/** Counts of recent events. */
export type RecentCounts = {
	add(key: string, now: number): void;
	get(key: string, now: number): number;
};

type Count = {count: number; at: number};

/**
 * Creates counts without events.
 * @param retentionMilliseconds - Time constant of the decay, in milliseconds.
 */
export function createRecentCounts(retentionMilliseconds: number): RecentCounts {
	const counts = new Map<string, Count>();

	function get(key: string, now: number): number {
		const entry = counts.get(key);
		return entry === undefined ? 0 : entry.count * Math.exp((entry.at - now) / retentionMilliseconds);
	}

	return {
		add(key, now) {
			counts.set(key, {count: get(key, now) + 1, at: now});
			if (counts.size > maximumKeys) {
				for (const old of [...counts.keys()].filter(name => get(name, now) < negligibleCount)) {
					counts.delete(old);
				}
			}
		},
		get,
	};
}
