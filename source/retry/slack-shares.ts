/**
 * Divides the slack among entries by what they want: max-min fairness. Each gets what it wants, or an equal share with the others that want
 * more than is there; what nobody wants is divided equally, so that a fault finds some of it everywhere. One part of it stays free for an entry that joins.
 */

/** Division of a slack. */
export type SlackShares = {
	/** Gets the share of one entry. */
	get(wanted: number): number;
};

/**
 * Divides a slack.
 * @param wanted - What each entry wants.
 * @param total - The slack.
 */
export function createSlackShares(wanted: readonly number[], total: number): SlackShares {
	const sorted = wanted.toSorted((left, right) => left - right);
	let rest = total;
	for (const [index, amount] of sorted.entries()) {
		const equalShare = rest / (sorted.length - index);
		if (amount > equalShare) {
			return {get: own => Math.min(own, equalShare)};
		}

		rest -= amount;
	}

	const unwanted = rest / (sorted.length + 1);
	return {get: own => own + unwanted};
}
