/** One cold server whose slots are allocated: its capacity, what entries hold of it, and what they hold from earlier leaders. */
import {type GrantedCapacity, type Observation, type Permit} from '../lease/index.js';
import {createCapacity, type Capacity, type SlowStartOptions} from './capacity.js';
import {createEarlierCapacity, type EarlierCapacity} from './earlier-capacity.js';
import {getHeldSlots, recordConfirmation, recordInFlight} from './holding.js';
import {createHoldings, type Holdings} from './holdings.js';
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

/** State of a cold server. */
export type ColdState = {
	server: ColdServer;
	readonly capacity: Capacity;
	readonly holdings: Holdings;
	readonly inheritance: Inheritance;
	readonly earlierCapacity: EarlierCapacity;
	/** Number of grants so far. */
	grants: number;
	/** Slots that entries might use after the newest grant, without those that they keep from an earlier leader. */
	heldAtGrant: number;
	/** Whether the capacity was reduced. */
	isReduced: boolean;
	/** Time at which no permit of an earlier leader is in use any more. */
	readonly grantableAt: number;
};

/** Process of an entry. */
export type Observer = {readonly entry: string; readonly process: string | undefined};

/** What an entry reports about its permit for one server. */
export type HeldPermit = {
	readonly entry: string;
	readonly acknowledged: number;
	readonly permit: Permit | undefined;
	readonly hasLease: boolean;
};

/**
 * Creates the state of a server of which this leader has granted nothing.
 * @param server - Cold server.
 * @param grantableAt - Time at which no permit of an earlier leader is in use any more.
 * @param now - Time in milliseconds.
 */
export function createColdState(server: ColdServer, grantableAt: number, now: number): ColdState {
	return {
		server,
		capacity: createCapacity(server.slots, server.easing, now),
		holdings: createHoldings(),
		inheritance: createInheritance(),
		earlierCapacity: createEarlierCapacity(server.easing.initialSlots),
		grants: 0,
		heldAtGrant: 0,
		isReduced: false,
		grantableAt,
	};
}

/**
 * Updates the slots and the longest deadline of a server.
 * @param state - State of the server.
 * @param server - Server as it is now.
 */
export function updateServer(state: ColdState, server: ColdServer): void {
	state.capacity.setSlots(server.slots);
	state.isReduced ||= server.slots < state.server.slots;
	// Requests that were sent with a longer deadline may still be in flight.
	state.server = {...server, deadlineMilliseconds: Math.max(server.deadlineMilliseconds, state.server.deadlineMilliseconds)};
}

/**
 * Gets the slots that all entries together may use.
 * @param state - State of the server.
 * @param now - Time in milliseconds.
 */
export function getHeldTotal(state: ColdState, now: number): number {
	let total = 0;
	for (const holding of state.holdings.getAll()) {
		const isReleased = holding.releasedAt !== undefined && holding.releasedAt <= now;
		total += isReleased ? 0 : getHeldSlots(holding);
	}

	return total;
}

/**
 * Applies what an entry observed of a server.
 * @param state - State of the server.
 * @param observer - Name and process of the entry.
 * @param observation - Observation of the entry.
 * @param now - Time in milliseconds.
 */
export function applyObservation(state: ColdState, {entry, process}: Observer, observation: Observation, now: number): void {
	state.holdings.change(entry, holding => {
		recordInFlight(holding, process, observation.inFlight);
	});
	state.capacity.report(observation.successes, 0, now);
	countSheds(state, observation.sheds, now);
}

/**
 * Reduces the capacity of a server if it has shed requests.
 * @param state - State of the server.
 * @param sheds - Number of requests that an entry reports.
 * @param now - Time in milliseconds.
 */
export function countSheds(state: ColdState, sheds: number, now: number): void {
	state.capacity.report(0, sheds, now);
	if (sheds > 0) {
		state.isReduced = true;
		state.earlierCapacity.recordShed();
	}
}

/**
 * Applies what an entry reports to hold of a server, while permits of an earlier leader may be in use.
 * @param state - State of the server.
 * @param held - Permit of the entry.
 */
export function inheritPermit(state: ColdState, {entry, acknowledged, permit, hasLease}: HeldPermit): void {
	const {
		server, inheritance, earlierCapacity, capacity, holdings,
	} = state;
	if (permit?.capacity !== undefined && !inheritance.isSettled(entry)) {
		earlierCapacity.learn(permit.capacity);
	}

	const confirmed = inheritance.report({entry, amount: permit?.slots ?? 0, hasLease});
	if (confirmed > 0) {
		holdings.change(entry, holding => {
			recordConfirmation(holding, acknowledged, confirmed);
		});
		capacity.inherit(earlierCapacity.getInheritable(inheritance.getTotal(), server.slots));
	}
}

/**
 * Gets the capacity by which the newest grant was made, and how much of it was in use then, or undefined if an earlier leader may know of more.
 * @param state - State of the server.
 * @param now - Time in milliseconds.
 */
export function getGrantedCapacity(state: ColdState, now: number): Omit<GrantedCapacity, 'epoch'> | undefined {
	const {
		server, capacity, inheritance, earlierCapacity, grants, heldAtGrant, grantableAt,
	} = state;
	if (now >= grantableAt) {
		return {grant: grants, slots: capacity.getSlots(now), held: heldAtGrant};
	}

	const slots = earlierCapacity.getSlots(server.slots);
	const heldEarlier = earlierCapacity.getHeld();
	// Entries that have not handed over their permits, silent ones among them, may use the rest.
	return slots === undefined || heldEarlier === undefined
		? undefined
		: {grant: grants, slots, held: Math.max(0, heldEarlier - inheritance.getTotal()) + heldAtGrant};
}
