/**
 * Allocates the slots of cold servers to entries. The slots that all entries together may still use never
 * exceed the server's capacity: unacknowledged grants and requests in flight count as held, and the slots
 * of an unreachable holder are released only after its lease and the longest deadline. While permits of an earlier leader may be in use,
 * only the slots that entries are known to hold are allocated (`inheritance.ts`).
 */
import {type GrantedCapacity, type Observation, type Permit} from '../lease/index.js';
import {getEvenShare} from './even-share.js';
import {
	applyObservation, countSheds, createColdState, getGrantedCapacity, getHeldTotal, inheritPermit, updateServer, type ColdServer, type ColdState,
} from './cold-state.js';
import {
	acknowledge, getAllocatedSlots, getHeldSlots, recordGrant, recordKeptGrant, switchProcess,
} from './holding.js';

/** Allocates slots of cold servers. */
export type Allocator = {
	/** Adds a cold server, or updates the slots and the longest deadline of an existing one. */
	add(server: ColdServer, now: number): void;
	remove(id: number): void;
	has(id: number): boolean;
	/** Records which process of an entry renews, or undefined for entries of earlier releases. Call it before the other functions for the renewal. */
	setProcess(entry: string, process: string | undefined): void;
	/** Applies a holder's acknowledgement and observations. */
	report(entry: string, acknowledged: number, observations: readonly Observation[], now: number): void;
	/** Counts the sheds of observations, and nothing else of them. */
	countSheds(observations: readonly Observation[], now: number): void;
	/** Applies what an entry reports to hold. The entry may hold it from an earlier leader. */
	inherit(held: HeldPermits, now: number): void;
	/** Releases the slots of a holder whose lease has expired once its requests in flight have ended. */
	expireLease(entry: string, now: number): void;
	/** Gets the permits of a holder for one grant, and counts them as held. */
	grant(entry: string, sequence: number, liveEntries: readonly string[], now: number): readonly Permit[];
	/** Gets the servers that count as warm. */
	getWarmed(now: number): readonly number[];
	/** Gets the capacity by which slots of a server are granted, and how much of it is in use, or undefined if an earlier leader may know of more. */
	getGrantedCapacity(id: number, now: number): Omit<GrantedCapacity, 'epoch'> | undefined;
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

/** A request of an entry for a grant. */
type GrantRequest = {readonly entry: string; readonly sequence: number; readonly liveEntries: readonly string[]; readonly now: number};

/**
 * Creates an allocator for one leadership.
 * @param options - Start of the leadership and the lease term.
 */
export function createAllocator(options: AllocatorOptions): Allocator {
	const states = new Map<number, ColdState>();
	const processes = new Map<string, string | undefined>();

	/** Gets what an entry keeps from an earlier leader, or undefined if this leader decides on its slots. */
	function getKeptSlots(state: ColdState, entry: string, now: number): number | undefined {
		return now < state.grantableAt ? state.inheritance.getKept(entry) : undefined;
	}

	/** Gets the slots that this leader may allocate. */
	function getAllocatableSlots({server, capacity, inheritance, earlierCapacity, grantableAt}: ColdState, now: number): number {
		const slots = capacity.getSlots(now);
		return now < grantableAt ? Math.max(0, Math.min(slots, inheritance.getTotal() - earlierCapacity.getExcess(server.slots))) : slots;
	}

	/** Gets how many of the slots that this leader may allocate are held by all entries. */
	function getCountedSlots({holdings, grantableAt}: ColdState, now: number): number {
		return now < grantableAt ? holdings.getAllocated() : holdings.getHeld();
	}

	/** Gets how many of the slots that this leader may allocate are held by other entries than the given one. */
	function getSlotsHeldByOthers(state: ColdState, entry: string, now: number): number {
		const holding = state.holdings.get(entry);
		const own = holding === undefined ? 0 : (now < state.grantableAt ? getAllocatedSlots(holding) : getHeldSlots(holding));
		return getCountedSlots(state, now) - own;
	}

	/** Gets the entries that share what this leader may allocate. Those that still keep their permits have a part of their own. */
	function getSharers(state: ColdState, liveEntries: readonly string[], now: number): readonly string[] {
		return now < state.grantableAt ? liveEntries.filter(entry => getKeptSlots(state, entry, now) === undefined) : liveEntries;
	}

	/** Grants slots to an entry, and returns them. */
	function grantSlots(state: ColdState, {entry, sequence, liveEntries, now}: GrantRequest): number {
		const slots = getAllocatableSlots(state, now);
		const evenShare = getEvenShare(state.server.id, entry, getSharers(state, liveEntries, now), slots);
		const heldByOthers = getSlotsHeldByOthers(state, entry, now);
		const granted = Math.max(0, Math.min(evenShare, slots - heldByOthers));
		state.holdings.change(entry, holding => {
			recordGrant(holding, sequence, granted);
		});
		state.heldAtGrant = getCountedSlots(state, now);
		return granted;
	}

	/** Gets the permit of an entry for one server, which it keeps from an earlier leader or which this leader grants. */
	function grantPermit(state: ColdState, request: GrantRequest): Permit {
		const {entry, sequence, now} = request;
		state.holdings.change(entry, holding => {
			switchProcess(holding, processes.get(entry), sequence);
		});
		const kept = getKeptSlots(state, entry, now);
		if (kept === undefined) {
			return {server: state.server.id, slots: grantSlots(state, request)};
		}

		state.holdings.change(entry, holding => {
			recordKeptGrant(holding, sequence, kept);
		});
		return {server: state.server.id, slots: kept, isKept: true};
	}

	return {
		add(server, now) {
			const existing = states.get(server.id);
			if (existing !== undefined) {
				updateServer(existing, server);
				return;
			}

			const waitMilliseconds = server.hasEarlierHolders ? options.termMilliseconds + server.deadlineMilliseconds : 0;
			states.set(server.id, createColdState(server, Math.max(now, options.startedAt + waitMilliseconds), now));
		},
		remove(id) {
			states.delete(id);
		},
		has: id => states.has(id),
		setProcess(entry, process) {
			processes.set(entry, process);
		},
		report(entry, acknowledged, observations, now) {
			const process = processes.get(entry);
			for (const state of states.values()) {
				state.holdings.changeKnown(entry, holding => {
					acknowledge(holding, process, acknowledged);
					holding.releasedAt = undefined;
				});
			}

			for (const observation of observations) {
				const state = states.get(observation.server);
				if (state !== undefined) {
					applyObservation(state, {entry, process}, observation, now);
				}
			}
		},
		countSheds(observations, now) {
			for (const {server, sheds} of observations) {
				const state = states.get(server);
				if (state !== undefined) {
					countSheds(state, sheds, now);
				}
			}
		},
		inherit({entry, acknowledged, permits, hasLease}, now) {
			const byServer = new Map(permits.map(permit => [permit.server, permit]));
			for (const state of states.values()) {
				if (now < state.grantableAt) {
					inheritPermit(state, {
						entry, acknowledged, permit: byServer.get(state.server.id), hasLease,
					});
				}
			}
		},
		expireLease(entry, now) {
			for (const state of states.values()) {
				state.holdings.changeKnown(entry, holding => {
					holding.releasedAt ??= now + state.server.deadlineMilliseconds;
				});
			}
		},
		grant(entry, sequence, liveEntries, now) {
			const permits: Permit[] = [];
			for (const state of states.values()) {
				state.holdings.removeReleased(now);
				state.grants++;
				const permit = grantPermit(state, {
					entry, sequence, liveEntries, now,
				});
				// A grant without slots tells that the capacity was reduced, in case the leader is lost.
				if (permit.slots > 0 || state.isReduced) {
					permits.push(permit);
				}
			}

			return permits;
		},
		getWarmed: now => [...states.values()].filter(state => state.capacity.isWarm(now)).map(state => state.server.id),
		getGrantedCapacity(id, now) {
			const state = states.get(id);
			return state === undefined ? undefined : getGrantedCapacity(state, now);
		},
		getUsage(id, now) {
			const state = states.get(id);
			return state === undefined ? undefined : {capacity: state.capacity.getSlots(now), held: getHeldTotal(state, now)};
		},
	};
}
