/**
 * Permits for one server that entries hold from earlier leaders. Permits move, they never multiply: what all entries hold together was
 * within the capacity under the earlier leader, so it stays within it if an entry keeps what it holds, and also if one entry hands over
 * its part to another. A new leader therefore need not know all holders: it disposes of what the entries that have reported to it hold,
 * and of nothing else until the leases of the earlier leaders have ended.
 *
 * An entry first keeps its permit under the lease of the new leader. Only its next renewal shows that it did: if its earlier lease had
 * ended by then, the earlier leader may have granted the same slots to another entry, and it keeps nothing.
 */

/** What an entry reports to hold. */
export type HeldReport = {
	readonly entry: string;
	/** Slots, or 1 for a rate. */
	readonly amount: number;
	/** Whether the entry has a lease of this leader. */
	readonly hasLease: boolean;
};

/** Permits for one server that entries hold from earlier leaders. */
export type Inheritance = {
	/** Records what an entry reports. Returns the amount that this leader disposes of by this report. */
	report(report: HeldReport): number;
	/** Checks whether this leader decides on the permit of an entry. */
	isSettled(entry: string): boolean;
	/** Gets what an entry keeps until its next renewal confirms it, or undefined if this leader decides on its permit. */
	getKept(entry: string): number | undefined;
	/** Gets what this leader disposes of. */
	getTotal(): number;
};

/** Creates an inheritance of which nothing was reported. */
export function createInheritance(): Inheritance {
	const unconfirmed = new Map<string, number>();
	const settled = new Set<string>();
	let total = 0;

	/** Ends the time in which an entry keeps its permit. From then on it has only what this leader grants it. */
	function settle(entry: string, amount: number): number {
		const confirmed = Math.min(amount, unconfirmed.get(entry) ?? 0);
		unconfirmed.delete(entry);
		settled.add(entry);
		total += confirmed;
		return confirmed;
	}

	return {
		report({entry, amount, hasLease}) {
			if (settled.has(entry)) {
				return 0;
			}

			if (hasLease || amount === 0) {
				return settle(entry, amount);
			}

			unconfirmed.set(entry, amount);
			return 0;
		},
		isSettled: entry => settled.has(entry),
		getKept: entry => unconfirmed.get(entry),
		getTotal: () => total,
	};
}
