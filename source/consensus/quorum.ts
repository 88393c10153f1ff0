/** Counts voters: what a majority of them has reached, and whether a number of them is a majority. */

/**
 * Checks whether a number of voters is a majority.
 * @param count - Voters that agree.
 * @param voters - All voters.
 */
export function isQuorum(count: number, voters: number): boolean {
	return count * 2 > voters;
}

/**
 * Gets the highest value that a majority has reached.
 * @param reached - Value that each voter has reached.
 */
export function getQuorumValue(reached: readonly number[]): number {
	const descending = reached.toSorted((left, right) => right - left);
	return descending[Math.floor(reached.length / 2)] ?? 0;
}
