/** Slots of one cold server that one entry may use: those of its grants, of which the newest may not have arrived, and those of its requests in flight. */

/** Slots that one entry may use. */
export type Holding = {
	/** Slots by grant sequence, from the newest acknowledged grant on. */
	readonly grants: Map<number, number>;
	inFlight: number;
	/** Time at which the last requests of a holder with an expired lease have ended, or undefined while its lease lasts. */
	releasedAt: number | undefined;
};

/** Creates a holding without grants. */
export function createHolding(): Holding {
	return {grants: new Map(), inFlight: 0, releasedAt: undefined};
}

/**
 * Gets the slots that the entry may use.
 * @param holding - Holding of the entry.
 */
export function getHeldSlots(holding: Holding): number {
	return Math.max(holding.inFlight, ...holding.grants.values());
}

/**
 * Gets the slots of the newest grant.
 * @param holding - Holding of the entry.
 */
export function getNewestGrantSlots(holding: Holding): number {
	return [...holding.grants.values()].at(-1) ?? 0;
}

/**
 * Records a grant. If there are several of one sequence number, the entry may have applied any of them.
 * @param holding - Holding of the entry.
 * @param sequence - Sequence number of the grant.
 * @param slots - Slots of the grant.
 */
export function recordGrant(holding: Holding, sequence: number, slots: number): void {
	holding.grants.set(sequence, Math.max(slots, holding.grants.get(sequence) ?? 0));
}

/**
 * Forgets the grants that the entry has replaced by a newer one.
 * @param holding - Holding of the entry.
 * @param acknowledged - Sequence number of the newest grant that the entry applied.
 */
export function acknowledge(holding: Holding, acknowledged: number): void {
	for (const sequence of holding.grants.keys()) {
		if (sequence < acknowledged) {
			holding.grants.delete(sequence);
		}
	}
}
