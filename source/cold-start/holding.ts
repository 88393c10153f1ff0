/** Slots of one cold server that one entry may use: those of its grants, of which the newest may not have arrived, and those of its requests in flight. */

/** Slots of one grant. */
type GrantedSlots = {
	readonly slots: number;
	/** Slots that the entry keeps from an earlier leader. They are not among those that this leader allocates. */
	readonly keptSlots: number;
};

/** Slots that one entry may use. */
export type Holding = {
	/** Process of the entry that renewed last, or undefined for entries of earlier releases. */
	process: string | undefined;
	/** Grants to that process by sequence number, in the order in which they were recorded, from the newest acknowledged one on. */
	readonly grants: Map<number, GrantedSlots>;
	/** Largest grant so far. */
	mostGranted: number;
	inFlight: number;
	/** Time at which the last requests of a holder with an expired lease have ended, or undefined while its lease lasts. */
	releasedAt: number | undefined;
};

/** Creates a holding without grants. */
export function createHolding(): Holding {
	return {
		process: undefined, grants: new Map(), mostGranted: 0, inFlight: 0, releasedAt: undefined,
	};
}

/**
 * Gets the slots that the entry may use.
 * @param holding - Holding of the entry.
 */
export function getHeldSlots(holding: Holding): number {
	let held = Math.max(holding.inFlight, getMostSlots(holding));
	for (const {keptSlots} of holding.grants.values()) {
		held = Math.max(held, keptSlots);
	}

	return held;
}

/**
 * Gets the slots that the entry may use of those that this leader allocates. Requests in flight beyond its grants were sent with a permit of
 * an earlier leader.
 * @param holding - Holding of the entry.
 */
export function getAllocatedSlots(holding: Holding): number {
	return Math.max(Math.min(holding.inFlight, holding.mostGranted), getMostSlots(holding));
}

/**
 * Begins to grant to a process. What another process of the entry holds counts as granted by this grant, since the two count their grants
 * separately, and any of the two may have renewed late.
 * @param holding - Holding of the entry.
 * @param process - Process that renewed last.
 * @param sequence - Sequence number of its grant.
 */
export function switchProcess(holding: Holding, process: string | undefined, sequence: number): void {
	if (holding.process === process) {
		return;
	}

	holding.process = process;
	const grants = [...holding.grants.values()];
	holding.grants.clear();
	for (const grant of grants) {
		record(holding, sequence, grant);
	}
}

/**
 * Records the requests in flight of a process. If another process of the entry renewed last, either may have them.
 * @param holding - Holding of the entry.
 * @param process - Process that has the requests.
 * @param inFlight - Number of the requests.
 */
export function recordInFlight(holding: Holding, process: string | undefined, inFlight: number): void {
	holding.inFlight = holding.process === process ? inFlight : Math.max(holding.inFlight, inFlight);
}

/** Gets the slots of the largest grant. A leader calls this for each entry and cold server with each grant, so it creates no list. */
function getMostSlots({grants}: Holding): number {
	let most = 0;
	for (const {slots} of grants.values()) {
		most = Math.max(most, slots);
	}

	return most;
}

/** Records a grant as the newest one. */
function record(holding: Holding, sequence: number, {slots, keptSlots}: GrantedSlots): void {
	const earlier = holding.grants.get(sequence);
	holding.grants.delete(sequence);
	holding.grants.set(sequence, {slots: Math.max(slots, earlier?.slots ?? 0), keptSlots: Math.max(keptSlots, earlier?.keptSlots ?? 0)});
	holding.mostGranted = Math.max(holding.mostGranted, slots);
}

/**
 * Records a grant. If there are several of one sequence number, the entry may have applied any of them.
 * @param holding - Holding of the entry.
 * @param sequence - Sequence number of the grant.
 * @param slots - Slots of the grant.
 */
export function recordGrant(holding: Holding, sequence: number, slots: number): void {
	record(holding, sequence, {slots, keptSlots: 0});
}

/**
 * Records a grant with which the entry keeps its permit.
 * @param holding - Holding of the entry.
 * @param sequence - Sequence number of the grant.
 * @param slots - Slots that the entry keeps at most.
 */
export function recordKeptGrant(holding: Holding, sequence: number, slots: number): void {
	record(holding, sequence, {slots: 0, keptSlots: slots});
}

/**
 * Records that the entry hands over the permit that it kept. Grants with which it keeps the permit may arrive later; they do not raise it.
 * @param holding - Holding of the entry.
 * @param acknowledged - Sequence number of the newest grant that the entry applied.
 * @param slots - Slots of the permit.
 */
export function recordConfirmation(holding: Holding, acknowledged: number, slots: number): void {
	for (const [sequence, grant] of holding.grants) {
		const confirmed = sequence === acknowledged ? slots : Math.min(grant.keptSlots, slots);
		holding.grants.set(sequence, {slots: Math.max(grant.slots, confirmed), keptSlots: 0});
	}

	if (!holding.grants.has(acknowledged)) {
		recordGrant(holding, acknowledged, slots);
	}

	holding.mostGranted = Math.max(holding.mostGranted, getMostSlots(holding));
}

/**
 * Forgets the grants that a process has replaced by a newer one: those with a smaller number that were recorded earlier. A late renewal of
 * a killed process, which an entry of an earlier release does not name, may acknowledge a larger number than its successor has reached.
 * @param holding - Holding of the entry.
 * @param process - Process that acknowledges.
 * @param acknowledged - Sequence number of the newest grant that the entry applied.
 */
export function acknowledge({process: grantedProcess, grants}: Holding, process: string | undefined, acknowledged: number): void {
	if (process !== grantedProcess || !grants.has(acknowledged)) {
		return;
	}

	for (const sequence of grants.keys()) {
		if (sequence === acknowledged) {
			return;
		}

		if (sequence < acknowledged) {
			grants.delete(sequence);
		}
	}
}
