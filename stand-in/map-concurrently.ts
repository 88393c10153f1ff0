/**
 * Runs a function for each of several items, some of them at a time.
 * @param items - Items, which are taken in order.
 * @param count - Number of items at a time.
 * @param run - Function.
 */
export async function mapConcurrently<Item, Value>(items: readonly Item[], count: number, run: (item: Item) => Promise<Value>): Promise<readonly Value[]> {
	const remaining = [...items];
	const values: Value[] = [];
	await Promise.all(Array.from({length: count}, async () => {
		for (let item = remaining.shift(); item !== undefined; item = remaining.shift()) {
			values.push(await run(item));
		}
	}));
	return values;
}
