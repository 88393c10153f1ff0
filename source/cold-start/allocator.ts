/**
 * Allocates the slots of cold servers to entries. The slots that all entries together may still use never
 * exceed the server's capacity: unacknowledged grants and requests in flight count as held, and the slots
 * of an unreachable holder are released only after its lease and the longest deadline. While permits of an earlier leader may be in use,
 * only the slots that entries are known to hold are allocated (`inheritance.ts`).
 */
import {type Observation, type Permit} from '../lease/index.js';
import {getEvenShare} from './even-share.js';
import {createCapacity, type Capacity, type SlowStartOptions} from './capacity.js';
import {
	acknowledge, createHolding, getAllocatedSlots, getHeldSlots, recordConfirmation, recordGrant, recordKeptGrant, type Holding,
} from './holding.js';
import {createInheritance, type Inheritance} from './inheritance.js';

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

type ColdState = {
	server: ColdServer;
	readonly capacity: Capacity;
	readonly holdings: Map<string, Holding>;
	readonly inheritance: Inheritance;
	/** Time at which no permit of an earlier leader is in use any more. */
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
	/** Applies what an entry reports to hold. The entry may hold it from an earlier leader. */
	inherit(held: HeldPermits, now: number): void;
	/** Releases the slots of a holder whose lease has expired once its requests in flight have ended. */
	expireLease(entry: string, now: number): void;
	/** Gets the permits of a holder for one grant, and counts them as held. */
	grant(entry: string, sequence: number, liveEntries: readonly string[], now: number): readonly Permit[];
	/** Gets the servers that count as warm. */
	getWarmed(now: number): readonly number[];
	/** Gets the capacity of a server and its held slots. */
	getUsage(id: number, now: number): {readonly capacity: number; readonly held: number} | undefined;
};

/** Permits that an entry reports to hold. */
export type HeldPermits = {
	readonly entry: string;
	/** Sequence number of the newest grant that the entry applied. */
	readonly acknowledged: number;
	readonly permits: readonly Permit[];
	/** Whether the entry has a lease of this leader. */
	readonly hasLease: boolean;
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

	function removeReleased(state: ColdState, now: number): void {
		for (const [entry, holding] of state.holdings) {
			if (holding.releasedAt !== undefined && holding.releasedAt <= now) {
				state.holdings.delete(entry);
			}
		}
	}

	/** Gets what an entry keeps from an earlier leader, or undefined if this leader decides on its slots. */
	function getKeptSlots(state: ColdState, entry: string, now: number): number | undefined {
		return now < state.grantableAt ? state.inheritance.getKept(entry) : undefined;
	}

	/** Gets the slots that this leader may allocate. */
	function getAllocatableSlots({capacity, inheritance, grantableAt}: ColdState, now: number): number {
		const slots = capacity.getSlots(now);
		return now < grantableAt ? Math.min(slots, inheritance.getTotal()) : slots;
	}

	/** Gets how many of the slots that this leader may allocate are held by other entries than the given one. */
	function getSlotsHeldByOthers(state: ColdState, entry: string, now: number): number {
		let total = 0;
		for (const [other, holding] of state.holdings) {
			if (other !== entry) {
				total += now < state.grantableAt ? getAllocatedSlots(holding) : getHeldSlots(holding);
			}
		}

		return total;
	}

	function getHeldTotal(state: ColdState, now: number): number {
		const holdings = [...state.holdings.values()].filter(({releasedAt}) => releasedAt === undefined || releasedAt > now);
		return holdings.reduce((total, holding) => total + getHeldSlots(holding), 0);
	}

	function getHolding(state: ColdState, entry: string): Holding {
		const existing = state.holdings.get(entry);
		if (existing !== undefined) {
			return existing;
		}

		const created = createHolding();
		state.holdings.set(entry, created);
		return created;
	}

	/** Gets the entries that share what this leader may allocate. Those that still keep their permits have a part of their own. */
	function getSharers(state: ColdState, liveEntries: readonly string[], now: number): readonly string[] {
		return now < state.grantableAt ? liveEntries.filter(entry => getKeptSlots(state, entry, now) === undefined) : liveEntries;
	}

	function getGrantSlots(state: ColdState, entry: string, liveEntries: readonly string[], now: number): number {
		const slots = getAllocatableSlots(state, now);
		const evenShare = getEvenShare(state.server.id, entry, getSharers(state, liveEntries, now), slots);
		return Math.max(0, Math.min(evenShare, slots - getSlotsHeldByOthers(state, entry, now)));
	}

	/** Gets the permit of an entry for one server, which it keeps from an earlier leader or which this leader grants. */
	function getPermit(state: ColdState, entry: string, liveEntries: readonly string[], now: number): Permit {
		const kept = getKeptSlots(state, entry, now);
		return kept === undefined
			? {server: state.server.id, slots: getGrantSlots(state, entry, liveEntries, now)}
			: {server: state.server.id, slots: kept, isKept: true};
	}

	function applyObservation(state: ColdState, entry: string, observation: Observation, now: number): void {
		const holding = getHolding(state, entry);
		holding.inFlight = observation.inFlight;
		state.capacity.report(observation.successes, observation.sheds, now);
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
				server,
				capacity: createCapacity(server.slots, server.easing, now),
				holdings: new Map(),
				inheritance: createInheritance(),
				grantableAt: Math.max(now, options.startedAt + waitMilliseconds),
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
		inherit({entry, acknowledged, permits, hasLease}, now) {
			const slotsByServer = new Map(permits.map(({server, slots}) => [server, slots]));
			for (const state of states.values()) {
				const confirmed = now < state.grantableAt
					? state.inheritance.report({entry, amount: slotsByServer.get(state.server.id) ?? 0, hasLease})
					: 0;
				if (confirmed > 0) {
					recordConfirmation(getHolding(state, entry), acknowledged, confirmed);
					state.capacity.inherit(state.inheritance.getTotal());
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
				removeReleased(state, now);
				const permit = getPermit(state, entry, liveEntries, now);
				const {slots} = permit;
				const holding = getHolding(state, entry);
				if (permit.isKept === true) {
					recordKeptGrant(holding, sequence, slots);
				} else {
					recordGrant(holding, sequence, slots);
				}

				if (slots > 0) {
					permits.push(permit);
				}
			}

			return permits;
		},
		getWarmed: now => [...states.values()].filter(state => state.capacity.isWarm(now)).map(state => state.server.id),
		getUsage(id, now) {
			const state = states.get(id);
			return state === undefined ? undefined : {capacity: state.capacity.getSlots(now), held: getHeldTotal(state, now)};
		},
	};
}
