/**
 * Groups values by a key, in the order in which the keys first occur.
 * @param values - Values.
 * @param getKey - Gets the key of a value.
 */
export function groupBy<Value>(values: readonly Value[], getKey: (value: Value) => string): ReadonlyMap<string, readonly Value[]> {
	const groups = new Map<string, Value[]>();
	for (const value of values) {
		const key = getKey(value);
		const group = groups.get(key) ?? [];
		group.push(value);
		groups.set(key, group);
	}

	return groups;
}
