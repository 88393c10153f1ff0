/**
 * Allocates the request rate of cold servers to entries. Only a few entries at a time hold a permit for a
 * server, each with an even share of its rate and a burst of one request, so that a server receives at most its rate plus
 * one request for each holder in any second. When a zone is put back into service or a release starts new servers, every
 * entry has requests for them, and even one request from each entry can crash a server. If many servers are cold, their
 * permits are spread over all entries, because no entry has enough requests to use all permits. While permits of an earlier leader may be
 * in use, a server has only the holders that are known to have one (`inheritance.ts`).
 */

import {type HeldPermits} from './allocator.js';
import {createInheritance, type Inheritance} from './inheritance.js';

/** Maximum number of entries that hold a permit for one server at the same time; each may send one request immediately. */
const maximumHolders = 4;

/** A cold server whose request rate is allocated. */
export type RateLimitedServer = {
	readonly id: number;
	/** Requests per second that the server can handle. */
	readonly requestsPerSecond: number;
	/** Time in milliseconds until which permits of an earlier leader may still be in use. */
	readonly grantableAt: number;
	/** Time in milliseconds at which the server counts as warm. */
	readonly coldUntil: number;
};

/** An entry's share of a cold server's request rate. */
export type RatePermit = {readonly server: number; readonly requestsPerSecond: number; readonly isKept?: true};

/** A request of an entry for permits. */
export type RateGrantRequest = {
	readonly entry: string;
	/** Time in milliseconds at which the entry's lease ends. */
	readonly expiresAt: number;
	/** Number of entries that share the permits, including this one. */
	readonly entryCount: number;
	readonly now: number;
};

/** Allocates request rates of cold servers. */
export type RateAllocator = {
	/** Adds a cold server, or updates the rate of an existing one and extends the time for which it is cold. */
	add(server: RateLimitedServer): void;
	remove(id: number): void;
	/** Applies what an entry reports to hold until its lease ends. The entry may hold it from an earlier leader. */
	inherit(held: HeldPermits, expiresAt: number, now: number): void;
	/** Gets the permits of an entry. */
	grant(request: RateGrantRequest): readonly RatePermit[];
	/** Releases the permits of an entry whose lease has expired. */
	expireLease(entry: string, now: number): void;
	/** Gets the servers that count as warm. */
	getWarmed(now: number): readonly number[];
};

type Holder = {
	readonly expiresAt: number;
	/** Whether the entry may keep a permit of an earlier leader that this leader does not dispose of. */
	readonly isKept: boolean;
};

type RateLimitedState = {server: RateLimitedServer; readonly holders: Map<string, Holder>; readonly inheritance: Inheritance};

/** Creates an allocator without servers. */
export function createRateAllocator(): RateAllocator {
	const states = new Map<number, RateLimitedState>();

	function removeExpired(holders: Map<string, Holder>, now: number): void {
		for (const [entry, {expiresAt}] of holders) {
			if (expiresAt <= now) {
				holders.delete(entry);
			}
		}
	}

	/** Checks whether an entry keeps a permit of an earlier leader. */
	function isKept({server, inheritance}: RateLimitedState, entry: string, now: number): boolean {
		return now < server.grantableAt && inheritance.getKept(entry) !== undefined;
	}

	/** Checks whether an entry may hold a permit that this leader disposes of. */
	function isGrantable({server, holders, inheritance}: RateLimitedState, entry: string, now: number): boolean {
		if (now >= server.grantableAt) {
			return holders.has(entry) || holders.size < maximumHolders;
		}

		const granted = [...holders].filter(([, holder]) => !holder.isKept).map(([name]) => name);
		return inheritance.getKept(entry) === undefined && (granted.includes(entry) || granted.length < inheritance.getTotal());
	}

	/** Chooses servers up to the even share of an entry: first those that it holds, then those with the fewest holders. */
	function chooseServers(entry: string, entryCount: number, now: number): readonly RateLimitedState[] {
		const share = Math.ceil(states.size * maximumHolders / Math.max(1, entryCount));
		const grantable = [...states.values()].filter(state => isGrantable(state, entry, now));
		const held = grantable.filter(({holders}) => holders.has(entry));
		const others = grantable.filter(({holders}) => !holders.has(entry)).toSorted((left, right) => left.holders.size - right.holders.size);
		return [...held, ...others].slice(0, share);
	}

	function getPermit({id, requestsPerSecond}: RateLimitedServer): RatePermit {
		return {server: id, requestsPerSecond: requestsPerSecond / maximumHolders};
	}

	return {
		add(server) {
			const existing = states.get(server.id);
			if (existing === undefined) {
				states.set(server.id, {server, holders: new Map(), inheritance: createInheritance()});
				return;
			}

			existing.server = {...server, grantableAt: existing.server.grantableAt, coldUntil: Math.max(server.coldUntil, existing.server.coldUntil)};
		},
		remove(id) {
			states.delete(id);
		},
		inherit({entry, permits, hasLease}, expiresAt, now) {
			const rateLimited = new Set(permits.filter(({requestsPerSecond}) => requestsPerSecond !== undefined).map(({server}) => server));
			for (const {server, holders, inheritance} of states.values()) {
				const confirmed = now < server.grantableAt
					? inheritance.report({entry, amount: rateLimited.has(server.id) ? 1 : 0, hasLease})
					: 0;
				if (confirmed > 0) {
					holders.set(entry, {expiresAt, isKept: false});
				}
			}
		},
		grant({entry, expiresAt, entryCount, now}) {
			for (const {holders} of states.values()) {
				removeExpired(holders, now);
			}

			const kept = [...states.values()].filter(state => isKept(state, entry, now));
			const granted = chooseServers(entry, entryCount, now);
			for (const {holders} of kept) {
				holders.set(entry, {expiresAt, isKept: true});
			}

			for (const {holders} of granted) {
				holders.set(entry, {expiresAt, isKept: false});
			}

			return [...kept.map(({server}) => ({...getPermit(server), isKept: true as const})), ...granted.map(({server}) => getPermit(server))];
		},
		expireLease(entry, now) {
			for (const {holders} of states.values()) {
				const holder = holders.get(entry);
				if (holder !== undefined) {
					holders.set(entry, {...holder, expiresAt: Math.min(holder.expiresAt, now)});
				}
			}
		},
		getWarmed: now => [...states.values()].filter(({server}) => server.coldUntil <= now).map(({server}) => server.id),
	};
}
