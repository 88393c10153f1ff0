/**
 * Hands out the slots of cold servers to entries. The sum over entries of what each
 * may still believe that it holds never exceeds what the server can carry: grants
 * that are not acknowledged and requests still in flight count as held, and a lost
 * holder's slots come back only after its lease and the longest deadline.
 */
import {type Observation, type Permit} from '../lease/index.js';
import {createCapacity, type Capacity, type SlowStartOptions} from './capacity.js';

/** A cold server as the allocator sees it. */
export type ColdServer = {
	readonly id: number;
	readonly slots: number;
	readonly easing: SlowStartOptions;
	/** Longest time in milliseconds that a request may stay in flight. */
	readonly deadlineMilliseconds: number;
	/** Whether another leader may have handed out slots of this server. */
	readonly hasEarlierHolders: boolean;
};

type Holding = {
	/** Slots by grant sequence, from the newest acknowledged grant on. */
	readonly grants: Map<number, number>;
	inFlight: number;
	/** Time after which a lost holder's requests have ended, or undefined while it lives. */
	lostUntil: number | undefined;
};

type ColdState = {
	server: ColdServer;
	readonly capacity: Capacity;
	readonly holdings: Map<string, Holding>;
	readonly openAt: number;
};

/** Hands out slots of cold servers. */
export type Allocator = {
	/** Adds a cold server, or takes the slots and the longest deadline that a known one has now. */
	add(server: ColdServer, now: number): void;
	remove(id: number): void;
	has(id: number): boolean;
	/** Takes what a holder acknowledged and saw. */
	report(entry: string, acknowledged: number, observations: readonly Observation[], now: number): void;
	/** Notes that a holder's lease has ended. */
	expireLease(entry: string, now: number): void;
	/** Gets the permits of a holder for one grant and counts them as held. */
	grant(entry: string, sequence: number, live: readonly string[], now: number): readonly Permit[];
	/** Gets the servers that can now carry their full slots. */
	getWarmed(now: number): readonly number[];
	/** Gets the slots that a server can carry, and those that are held. */
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

	function getHeld(holding: Holding): number {
		return Math.max(holding.inFlight, ...holding.grants.values());
	}

	function getTotalHeld(state: ColdState, now: number): number {
		let total = 0;
		for (const [entry, holding] of state.holdings) {
			if (holding.lostUntil !== undefined && holding.lostUntil <= now) {
				state.holdings.delete(entry);
				continue;
			}

			total += getHeld(holding);
		}

		return total;
	}

	function getHolding(state: ColdState, entry: string): Holding {
		const existing = state.holdings.get(entry);
		if (existing !== undefined) {
			return existing;
		}

		const created: Holding = {grants: new Map(), inFlight: 0, lostUntil: undefined};
		state.holdings.set(entry, created);
		return created;
	}

	function getNewestGrant(holding: Holding): number {
		return [...holding.grants.values()].at(-1) ?? 0;
	}

	function getSlots(state: ColdState, entry: string, live: readonly string[], now: number): number {
		const carried = state.capacity.getSlots(now);
		const holding = getHolding(state, entry);
		const share = getShare(state.server.id, entry, live, carried);
		const others = getTotalHeld(state, now) - getHeld(holding);
		return Math.max(0, Math.min(share, carried - others));
	}

	function reportOne(state: ColdState, entry: string, observation: Observation, now: number): void {
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
			const known = states.get(server.id);
			if (known !== undefined) {
				known.capacity.setSlots(server.slots);
				// Requests that were sent under a longer deadline may still be running.
				known.server = {...server, deadlineMilliseconds: Math.max(server.deadlineMilliseconds, known.server.deadlineMilliseconds)};
				return;
			}

			const wait = server.hasEarlierHolders ? options.termMilliseconds + server.deadlineMilliseconds : 0;
			states.set(server.id, {
				server, capacity: createCapacity(server.slots, server.easing, now), holdings: new Map(), openAt: Math.max(now, options.startedAt + wait),
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
					holding.lostUntil = undefined;
				}
			}

			for (const observation of observations) {
				const state = states.get(observation.server);
				if (state !== undefined) {
					reportOne(state, entry, observation, now);
				}
			}
		},
		expireLease(entry, now) {
			for (const state of states.values()) {
				const holding = state.holdings.get(entry);
				if (holding !== undefined && holding.lostUntil === undefined) {
					holding.lostUntil = now + state.server.deadlineMilliseconds;
				}
			}
		},
		grant(entry, sequence, live, now) {
			const permits: Permit[] = [];
			for (const state of states.values()) {
				if (now < state.openAt) {
					continue;
				}

				const slots = getSlots(state, entry, live, now);
				const holding = getHolding(state, entry);
				if (slots > 0 || getNewestGrant(holding) > 0) {
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
			return state === undefined ? undefined : {capacity: state.capacity.getSlots(now), held: getTotalHeld(state, now)};
		},
	};
}

/**
 * Gets an entry's even share of a server's slots. The entry at which the shares
 * start differs by server, so that cold servers with one slot each spread out.
 */
function getShare(server: number, entry: string, live: readonly string[], slots: number): number {
	const position = live.indexOf(entry);
	if (position === -1) {
		return 0;
	}

	const offset = (position + live.length - (server % live.length)) % live.length;
	return Math.floor(slots / live.length) + (offset < slots % live.length ? 1 : 0);
}
