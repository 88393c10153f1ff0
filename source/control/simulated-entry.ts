/** An entry that holds a lease and permits for cold servers in virtual time. Only tests use this. */
import {
	createLeaseHolder, createUnansweredSheds, getNextPermit, withoutKeptPermits, type Grant, type Permit, type Renewal,
} from '../lease/index.js';

/** A simulated entry. */
export type SimulatedEntry = {
	readonly name: string;
	/** Creates the next renewal, with observations of the given servers. */
	createRenewal(servers: readonly number[], now: number): Renewal;
	apply(grant: Grant, now: number): void;
	/** Starts a request that takes the given time if a permit allows it, and returns whether it does. */
	startRequest(server: number, milliseconds: number, now: number): boolean;
	/** Finishes the requests that have ended, and returns their servers. */
	finishRequests(now: number): readonly number[];
	/** Records that a server shed a request. */
	recordShed(server: number): void;
	/** Gets the slots of a server that the entry may use, or has requests on. */
	getUsableSlots(server: number, now: number): number;
	/** Checks whether the entry may send requests to a server at a rate. */
	hasRate(server: number, now: number): boolean;
};

/**
 * Creates an entry without a lease.
 * @param name - Name of the entry.
 * @param reportsHeld - Whether it is of a release that reports what it holds.
 */
export function createSimulatedEntry(name: string, reportsHeld: boolean): SimulatedEntry {
	const holder = createLeaseHolder();
	const unansweredSheds = createUnansweredSheds();
	const successes = new Map<number, number>();
	const sheds = new Map<number, number>();
	let permits: ReadonlyMap<number, Permit> = new Map();
	let inFlight: ReadonlyArray<{readonly server: number; readonly endsAt: number}> = [];

	function takeObservations(servers: readonly number[]): Renewal['observations'] {
		const observations = servers.map(server => ({
			server, inFlight: getInFlight(server), successes: successes.get(server) ?? 0, sheds: sheds.get(server) ?? 0, isCold: false,
		}));
		successes.clear();
		sheds.clear();
		return observations;
	}

	function getInFlight(server: number): number {
		return inFlight.filter(request => request.server === server).length;
	}

	function getPermit(server: number, now: number): Permit | undefined {
		return holder.isValid(now) ? permits.get(server) : undefined;
	}

	return {
		name,
		createRenewal(servers, now) {
			const sequence = holder.startRenewal(now);
			const held = holder.isValid(now) ? [...permits.values()] : [];
			return {
				kind: 'renewal',
				entry: name,
				environment: 'production',
				sequence,
				acknowledged: holder.getAcknowledged(),
				version: holder.getVersion(),
				epoch: holder.getEpoch(),
				revision: holder.getRevision(),
				peersRevision: holder.getPeersRevision(),
				observations: unansweredSheds.addTo(sequence, takeObservations(servers)),
				...(reportsHeld ? {held} : {}),
				failedProbes: [],
				heard: [],
				crashes: [],
				peer: undefined,
				isFinal: false,
			};
		},
		apply(grant, now) {
			const hasHeldLease = holder.isValid(now);
			if (!holder.accept(grant, now)) {
				return;
			}

			unansweredSheds.recordAnswer(grant);
			const granted = (hasHeldLease ? grant : withoutKeptPermits(grant)).permits;
			const next = granted.map(permit => getNextPermit(permits.get(permit.server), permit)).filter(permit => permit !== undefined);
			permits = new Map(next.map(permit => [permit.server, permit]));
		},
		startRequest(server, milliseconds, now) {
			const isAllowed = getInFlight(server) < (getPermit(server, now)?.slots ?? 0);
			if (isAllowed) {
				inFlight = [...inFlight, {server, endsAt: now + milliseconds}];
			}

			return isAllowed;
		},
		finishRequests(now) {
			const finished = inFlight.filter(request => request.endsAt <= now).map(request => request.server);
			for (const server of finished) {
				successes.set(server, (successes.get(server) ?? 0) + 1);
			}

			inFlight = inFlight.filter(request => request.endsAt > now);
			return finished;
		},
		recordShed(server) {
			sheds.set(server, (sheds.get(server) ?? 0) + 1);
		},
		getUsableSlots: (server, now) => Math.max(getPermit(server, now)?.slots ?? 0, getInFlight(server)),
		hasRate: (server, now) => getPermit(server, now)?.requestsPerSecond !== undefined,
	};
}
