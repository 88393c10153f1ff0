/** Slots of one cold server that one entry may use: those of its grants, of which the newest may not have arrived, and those of its requests in flight. */

/** Slots that one entry may use. */
export type Holding = {
	/** Slots by grant sequence, from the newest acknowledged grant on. */
	readonly grants: Map<number, number>;
	/** Slots that the entry keeps from an earlier leader, by grant sequence. They are not among those that this leader allocates. */
	readonly keptGrants: Map<number, number>;
	/** Largest grant so far. */
	mostGranted: number;
	inFlight: number;
	/** Time at which the last requests of a holder with an expired lease have ended, or undefined while its lease lasts. */
	releasedAt: number | undefined;
};

/** Creates a holding without grants. */
export function createHolding(): Holding {
	return {
		grants: new Map(), keptGrants: new Map(), mostGranted: 0, inFlight: 0, releasedAt: undefined,
	};
}

/**
 * Gets the slots that the entry may use.
 * @param holding - Holding of the entry.
 */
export function getHeldSlots(holding: Holding): number {
	return Math.max(holding.inFlight, ...holding.grants.values(), ...holding.keptGrants.values());
}

/**
 * Gets the slots that the entry may use of those that this leader allocates. Requests in flight beyond its grants were sent with a permit of
 * an earlier leader.
 * @param holding - Holding of the entry.
 */
export function getAllocatedSlots(holding: Holding): number {
	return Math.max(Math.min(holding.inFlight, holding.mostGranted), ...holding.grants.values());
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
	holding.mostGranted = Math.max(holding.mostGranted, slots);
}

/**
 * Records a grant with which the entry keeps its permit.
 * @param holding - Holding of the entry.
 * @param sequence - Sequence number of the grant.
 * @param slots - Slots that the entry keeps at most.
 */
export function recordKeptGrant(holding: Holding, sequence: number, slots: number): void {
	holding.keptGrants.set(sequence, Math.max(slots, holding.keptGrants.get(sequence) ?? 0));
}

/**
 * Records that the entry hands over the permit that it kept. Grants with which it keeps the permit may arrive later; they do not raise it.
 * @param holding - Holding of the entry.
 * @param acknowledged - Sequence number of the newest grant that the entry applied.
 * @param slots - Slots of the permit.
 */
export function recordConfirmation(holding: Holding, acknowledged: number, slots: number): void {
	recordGrant(holding, acknowledged, slots);
	for (const [sequence, kept] of holding.keptGrants) {
		recordGrant(holding, sequence, Math.min(kept, slots));
	}
}

/**
 * Forgets the grants that the entry has replaced by a newer one.
 * @param holding - Holding of the entry.
 * @param acknowledged - Sequence number of the newest grant that the entry applied.
 */
export function acknowledge(holding: Holding, acknowledged: number): void {
	for (const grants of [holding.grants, holding.keptGrants]) {
		for (const sequence of grants.keys()) {
			if (sequence < acknowledged) {
				grants.delete(sequence);
			}
		}
	}
}
