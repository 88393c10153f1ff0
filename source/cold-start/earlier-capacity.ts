/**
 * Capacity of one cold server as earlier leaders estimated it. The permits that entries hold state the capacity by which they were granted,
 * and how much of it was in use. If the server can handle less by now, a new leader withholds the difference from the entries that it hears:
 * the silent ones may still use the rest.
 */
import {type GrantedCapacity} from '../lease/index.js';

/** Capacity of one cold server as earlier leaders estimated it. */
export type EarlierCapacity = {
	/** Applies the capacity by which a permit that an entry holds was granted. */
	learn(granted: GrantedCapacity): void;
	/** Records that the server has shed requests, which no earlier leader has counted. */
	recordShed(): void;
	/**
	 * Gets the slots that the server can handle by what it announces and what the newest grant and the sheds since tell, rounded down, or
	 * undefined if no grant tells.
	 */
	getSlots(announcedSlots: number): number | undefined;
	/** Gets the slots that all entries together may hold from earlier leaders, or undefined if no grant tells. */
	getHeld(): number | undefined;
	/** Gets up to how many slots this leader may continue with, given those that entries have handed over to it. */
	getInheritable(total: number, announcedSlots: number): number;
	/** Gets by how many slots the permits of earlier leaders may exceed what the server can handle. */
	getExcess(announcedSlots: number): number;
};

function isNewer(one: GrantedCapacity, other: GrantedCapacity): boolean {
	return one.epoch > other.epoch || (one.epoch === other.epoch && one.grant > other.grant);
}

/**
 * Creates the capacity of a server of which no permit is known.
 * @param initialSlots - Slots that a server keeps after sheds.
 */
export function createEarlierCapacity(initialSlots: number): EarlierCapacity {
	let newest: GrantedCapacity | undefined;
	let sheds = 0;

	function getSlots(announcedSlots: number): number | undefined {
		if (newest === undefined) {
			return undefined;
		}

		// The server may have shed requests after it announced fewer slots.
		const slots = Math.min(newest.slots, announcedSlots);
		return Math.floor(Math.max(Math.min(initialSlots, slots), slots / (2 ** sheds)));
	}

	function getHeld(): number | undefined {
		return newest === undefined ? undefined : Math.max(newest.held, newest.slots);
	}

	return {
		learn(granted) {
			if (newest === undefined || isNewer(granted, newest)) {
				newest = granted;
			}
		},
		recordShed() {
			sheds++;
		},
		getSlots,
		getHeld,
		getInheritable(total, announcedSlots) {
			const slots = getSlots(announcedSlots);
			return slots === undefined ? (sheds === 0 ? total : 0) : Math.min(total, slots);
		},
		getExcess(announcedSlots) {
			return Math.max(0, (getHeld() ?? 0) - (getSlots(announcedSlots) ?? 0));
		},
	};
}
