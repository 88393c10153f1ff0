/** A set that keeps a limited number of values, the newest ones. */

/** Set of the newest values. */
export type RecentSet = {
	add(value: string): void;
	has(value: string): boolean;
};

/**
 * Creates an empty set.
 * @param maximumSize - Number of values above which the oldest is forgotten.
 */
export function createRecentSet(maximumSize: number): RecentSet {
	const values = new Set<string>();
	return {
		add(value) {
			values.add(value);
			if (values.size > maximumSize) {
				const [oldest] = values;
				values.delete(oldest!);
			}
		},
		has: value => values.has(value),
	};
}
