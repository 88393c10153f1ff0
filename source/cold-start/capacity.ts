/**
 * What one cold server can carry: a few slots at first, more with each success,
 * half as many after a shed, and all of them once the ceiling time has passed
 * without a shed.
 */

/** How a cold server is eased in. */
export type SlowStartOptions = {
	readonly initialSlots: number;
	/** Slots gained for each successful request. */
	readonly growthPerSuccess: number;
	/** Time without a shed after which the server counts as warm, in milliseconds. */
	readonly ceilingMilliseconds: number;
};

/** Capacity of one cold server. */
export type Capacity = {
	report(successes: number, sheds: number, now: number): void;
	/** Takes the slots that the server announces now. */
	setSlots(slots: number): void;
	/** Gets the whole slots that the server can carry. */
	getSlots(now: number): number;
	isWarm(now: number): boolean;
};

/**
 * Creates the capacity of a server that has just started.
 * @param initialSlots - Slots of the warm server.
 * @param easing - How it is eased in.
 * @param startedAt - Start in milliseconds.
 */
export function createCapacity(initialSlots: number, easing: SlowStartOptions, startedAt: number): Capacity {
	let slots = initialSlots;
	let carried = Math.min(slots, easing.initialSlots);
	let successes = 0;
	let shedAt = startedAt;

	function isWarm(now: number): boolean {
		const isGrown = carried >= slots;
		const hasCeilingPassed = successes > 0 && now - shedAt >= easing.ceilingMilliseconds;
		return isGrown || hasCeilingPassed;
	}

	return {
		report(newSuccesses, sheds, now) {
			successes += newSuccesses;
			carried = Math.min(slots, carried + (newSuccesses * easing.growthPerSuccess));
			if (sheds > 0) {
				carried = Math.max(Math.min(slots, easing.initialSlots), carried / 2);
				shedAt = now;
			}
		},
		setSlots(next) {
			slots = next;
			carried = Math.min(slots, carried);
		},
		getSlots: now => Math.floor(isWarm(now) ? slots : carried),
		isWarm,
	};
}
