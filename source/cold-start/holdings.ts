/**
 * What all entries hold of one cold server, with its sums. A leader needs the sums for each cold server with each grant, so they are kept
 * rather than added up anew: the work for a grant would grow with the number of servers times that of entries.
 */
import {
	createHolding, getAllocatedSlots, getHeldSlots, type Holding,
} from './holding.js';

/** What all entries hold of one cold server. */
export type Holdings = {
	/** Changes what an entry holds, of which there may be nothing yet. All changes must go through this function. */
	change(entry: string, change: (holding: Holding) => void): void;
	/** Changes what an entry holds, unless there is nothing. */
	changeKnown(entry: string, change: (holding: Holding) => void): void;
	/** Removes what holders with an expired lease have released. */
	removeReleased(now: number): void;
	/** Gets the slots that all entries together may use, with those that are not removed yet. */
	getHeld(): number;
	/** Gets the slots that all entries together may use of those that this leader allocates. */
	getAllocated(): number;
	get(entry: string): Readonly<Holding> | undefined;
	getAll(): Iterable<Readonly<Holding>>;
};

/** Creates holdings without entries. */
export function createHoldings(): Holdings {
	const holdings = new Map<string, Holding>();
	/** Entries whose holding ends at some time. */
	const ending = new Set<string>();
	let held = 0;
	let allocated = 0;

	function count(holding: Holding, sign: 1 | -1): void {
		held += sign * getHeldSlots(holding);
		allocated += sign * getAllocatedSlots(holding);
	}

	function apply(entry: string, holding: Holding, change: (holding: Holding) => void): void {
		count(holding, -1);
		change(holding);
		count(holding, 1);
		if (holding.releasedAt === undefined) {
			ending.delete(entry);
		} else {
			ending.add(entry);
		}
	}

	return {
		change(entry, change) {
			let holding = holdings.get(entry);
			if (holding === undefined) {
				holding = createHolding();
				holdings.set(entry, holding);
			}

			apply(entry, holding, change);
		},
		changeKnown(entry, change) {
			const holding = holdings.get(entry);
			if (holding !== undefined) {
				apply(entry, holding, change);
			}
		},
		removeReleased(now) {
			for (const entry of ending) {
				const holding = holdings.get(entry)!;
				if (holding.releasedAt! <= now) {
					count(holding, -1);
					holdings.delete(entry);
					ending.delete(entry);
				}
			}
		},
		getHeld: () => held,
		getAllocated: () => allocated,
		get: entry => holdings.get(entry),
		getAll: () => holdings.values(),
	};
}
