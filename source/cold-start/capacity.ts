/**
 * Estimates the capacity of one cold server: a few slots at first, more with each success,
 * half as many after a shed, and all of them once the ceiling time has passed without a shed.
 */

/** Options for the slow start of a cold server. */
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
	/** Updates the slots that the server announces. */
	setSlots(slots: number): void;
	/** Raises the slots to those that an earlier leader has granted and that the server can still handle. */
	inherit(slots: number): void;
	/** Gets the slots that the server can handle, rounded down. */
	getSlots(now: number): number;
	isWarm(now: number): boolean;
};

/**
 * Creates the capacity of a server that has just started.
 * @param warmSlots - Slots of the server when it is warm.
 * @param easing - Options for the slow start.
 * @param startedAt - Time of the start in milliseconds.
 */
export function createCapacity(warmSlots: number, easing: SlowStartOptions, startedAt: number): Capacity {
	let slots = warmSlots;
	let currentSlots = Math.min(slots, easing.initialSlots);
	let successes = 0;
	let lastShedAt = startedAt;

	function isWarm(now: number): boolean {
		const hasAllSlots = currentSlots >= slots;
		const hasCeilingTimePassed = successes > 0 && now - lastShedAt >= easing.ceilingMilliseconds;
		return hasAllSlots || hasCeilingTimePassed;
	}

	return {
		report(newSuccesses, sheds, now) {
			successes += newSuccesses;
			currentSlots = Math.min(slots, currentSlots + (newSuccesses * easing.growthPerSuccess));
			if (sheds > 0) {
				currentSlots = Math.max(Math.min(slots, easing.initialSlots), currentSlots / 2);
				lastShedAt = now;
			}
		},
		setSlots(newSlots) {
			slots = newSlots;
			currentSlots = Math.min(slots, currentSlots);
		},
		inherit(inheritedSlots) {
			currentSlots = Math.min(slots, Math.max(currentSlots, inheritedSlots));
		},
		getSlots: now => Math.floor(isWarm(now) ? slots : currentSlots),
		isWarm,
	};
}
