/**
 * Allocates the slots of cold servers to entries. The slots that all entries together may still use never
 * exceed the server's capacity: unacknowledged grants and requests in flight count as held, and the slots
 * of an unreachable holder are released only after its lease and the longest deadline.
 */
import {type Observation, type Permit} from '../lease/index.js';
import {createCapacity, type Capacity, type SlowStartOptions} from './capacity.js';

/** A cold server whose slots are allocated. */
export type ColdServer = {
	readonly id: number;
	readonly slots: number;
	readonly easing: SlowStartOptions;
	/** Maximum time in milliseconds for which a request may be in flight. */
	readonly deadlineMilliseconds: number;
	/** Whether an earlier leader may have granted slots of this server. */
	readonly hasEarlierHolders: boolean;
};

type Holding = {
	/** Slots by grant sequence, from the newest acknowledged grant on. */
	readonly grants: Map<number, number>;
	inFlight: number;
	/** Time at which the last requests of a holder with an expired lease have ended, or undefined while its lease lasts. */
	releasedAt: number | undefined;
};

type ColdState = {
	server: ColdServer;
	readonly capacity: Capacity;
	readonly holdings: Map<string, Holding>;
	readonly grantableAt: number;
};

/** Allocates slots of cold servers. */
export type Allocator = {
	/** Adds a cold server, or updates the slots and the longest deadline of an existing one. */
	add(server: ColdServer, now: number): void;
	remove(id: number): void;
	has(id: number): boolean;
	/** Applies a holder's acknowledgement and observations. */
	report(entry: string, acknowledged: number, observations: readonly Observation[], now: number): void;
	/** Releases the slots of a holder whose lease has expired once its requests in flight have ended. */
	expireLease(entry: string, now: number): void;
	/** Gets the permits of a holder for one grant, and counts them as held. */
	grant(entry: string, sequence: number, liveEntries: readonly string[], now: number): readonly Permit[];
	/** Gets the servers that count as warm. */
	getWarmed(now: number): readonly number[];
	/** Gets the capacity of a server and its held slots. */
	getUsage(id: number, now: number): {readonly capacity: number; readonly held: number} | undefined;
};

/** Options of an allocator. */
export type AllocatorOptions = {
	readonly startedAt: number;
	readonly termMilliseconds: number;
};

/**
 * Creates an allocator for one leadership.
 * @param options - Start of the leadership and the lease term.
 */
export function createAllocator(options: AllocatorOptions): Allocator {
	const states = new Map<number, ColdState>();

	function getHeldSlots(holding: Holding): number {
		return Math.max(holding.inFlight, ...holding.grants.values());
	}

	function getTotalHeldSlots(state: ColdState, now: number): number {
		let total = 0;
		for (const [entry, holding] of state.holdings) {
			if (holding.releasedAt !== undefined && holding.releasedAt <= now) {
				state.holdings.delete(entry);
				continue;
			}

			total += getHeldSlots(holding);
		}

		return total;
	}

	function getHolding(state: ColdState, entry: string): Holding {
		const existing = state.holdings.get(entry);
		if (existing !== undefined) {
			return existing;
		}

		const created: Holding = {grants: new Map(), inFlight: 0, releasedAt: undefined};
		state.holdings.set(entry, created);
		return created;
	}

	function getNewestGrantSlots(holding: Holding): number {
		return [...holding.grants.values()].at(-1) ?? 0;
	}

	function getGrantSlots(state: ColdState, entry: string, liveEntries: readonly string[], now: number): number {
		const capacity = state.capacity.getSlots(now);
		const holding = getHolding(state, entry);
		const evenShare = getEvenShare(state.server.id, entry, liveEntries, capacity);
		const slotsHeldByOthers = getTotalHeldSlots(state, now) - getHeldSlots(holding);
		return Math.max(0, Math.min(evenShare, capacity - slotsHeldByOthers));
	}

	function applyObservation(state: ColdState, entry: string, observation: Observation, now: number): void {
		const holding = getHolding(state, entry);
		holding.inFlight = observation.inFlight;
		state.capacity.report(observation.successes, observation.sheds, now);
	}

	function acknowledge(holding: Holding, acknowledged: number): void {
		for (const sequence of holding.grants.keys()) {
			if (sequence < acknowledged) {
				holding.grants.delete(sequence);
			}
		}
	}

	return {
		add(server, now) {
			const existing = states.get(server.id);
			if (existing !== undefined) {
				existing.capacity.setSlots(server.slots);
				// Requests that were sent with a longer deadline may still be in flight.
				existing.server = {...server, deadlineMilliseconds: Math.max(server.deadlineMilliseconds, existing.server.deadlineMilliseconds)};
				return;
			}

			const waitMilliseconds = server.hasEarlierHolders ? options.termMilliseconds + server.deadlineMilliseconds : 0;
			states.set(server.id, {
				server, capacity: createCapacity(server.slots, server.easing, now), holdings: new Map(), grantableAt: Math.max(now, options.startedAt + waitMilliseconds),
			});
		},
		remove(id) {
			states.delete(id);
		},
		has: id => states.has(id),
		report(entry, acknowledged, observations, now) {
			for (const state of states.values()) {
				const holding = state.holdings.get(entry);
				if (holding !== undefined) {
					acknowledge(holding, acknowledged);
					holding.releasedAt = undefined;
				}
			}

			for (const observation of observations) {
				const state = states.get(observation.server);
				if (state !== undefined) {
					applyObservation(state, entry, observation, now);
				}
			}
		},
		expireLease(entry, now) {
			for (const state of states.values()) {
				const holding = state.holdings.get(entry);
				if (holding !== undefined && holding.releasedAt === undefined) {
					holding.releasedAt = now + state.server.deadlineMilliseconds;
				}
			}
		},
		grant(entry, sequence, liveEntries, now) {
			const permits: Permit[] = [];
			for (const state of states.values()) {
				if (now < state.grantableAt) {
					continue;
				}

				const slots = getGrantSlots(state, entry, liveEntries, now);
				const holding = getHolding(state, entry);
				if (slots > 0 || getNewestGrantSlots(holding) > 0) {
					holding.grants.set(sequence, slots);
				}

				if (slots > 0) {
					permits.push({server: state.server.id, slots});
				}
			}

			return permits;
		},
		getWarmed: now => [...states.values()].filter(state => state.capacity.isWarm(now)).map(state => state.server.id),
		getUsage(id, now) {
			const state = states.get(id);
			return state === undefined ? undefined : {capacity: state.capacity.getSlots(now), held: getTotalHeldSlots(state, now)};
		},
	};
}

/**
 * Gets an entry's even share of a server's slots. The first entry to get a slot differs by server,
 * so that cold servers with one slot each are spread over the entries.
 */
function getEvenShare(server: number, entry: string, liveEntries: readonly string[], slots: number): number {
	const position = liveEntries.indexOf(entry);
	if (position === -1) {
		return 0;
	}

	const offset = (position + liveEntries.length - (server % liveEntries.length)) % liveEntries.length;
	return Math.floor(slots / liveEntries.length) + (offset < slots % liveEntries.length ? 1 : 0);
}
