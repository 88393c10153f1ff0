/** Divides tokens among the holders that want some: max-min fairness. Each gets what it wants, or an equal share with the others that want more than is there. */

/** Division of tokens. */
export type HolderShares = {
	/** Gets the share of a holder, which need not be whole. */
	get(wanted: number): number;
};

/**
 * Divides tokens.
 * @param wanted - Number of tokens that each holder wants to have.
 * @param total - Number of tokens.
 */
export function createHolderShares(wanted: readonly number[], total: number): HolderShares {
	const sorted = wanted.filter(amount => amount > 0).toSorted((left, right) => left - right);
	let rest = total;
	for (const [index, amount] of sorted.entries()) {
		const equalShare = rest / (sorted.length - index);
		if (amount > equalShare) {
			return {get: own => Math.min(own, equalShare)};
		}

		rest -= amount;
	}

	return {get: own => own};
}
