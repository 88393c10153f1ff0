/** Majority arithmetic over the voters. */

/**
 * Checks whether a number of voters is a majority.
 * @param count - Number of voters that agree.
 * @param voters - Number of voters in the membership.
 */
export function isQuorum(count: number, voters: number): boolean {
	return count * 2 > voters;
}

/**
 * Gets the highest value that a majority of the voters has reached.
 * @param reached - Value that each voter has reached, such as its match index.
 */
export function getQuorumValue(reached: readonly number[]): number {
	const descending = reached.toSorted((left, right) => right - left);
	return descending[Math.floor(reached.length / 2)] ?? 0;
}
