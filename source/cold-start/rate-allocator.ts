/**
 * Hands out the rate of requests that cold servers can carry. Load pattern: a zone
 * comes back, or a release starts new servers, while every entry has requests for them;
 * each entry that "sends only one" adds up to a crash. A few entries hold a permit for
 * a server at a time, each with an even part of its rate and a burst of one request, so
 * the sum over entries in any second is at most the rate and one for each holder. Where
 * many servers are cold, the permits are spread over all entries, since every one of them
 * has requests and none has enough to use them all.
 */

/** Entries at most that hold a permit for one server at the same time, each of which may send one request at once. */
const maximumHolders = 4;

/** A cold server whose rate is handed out. */
export type RateLimitedServer = {
	readonly id: number;
	/** Requests a second that it can carry. */
	readonly requestsPerSecond: number;
	/** Time in milliseconds before which another leader's permits may still be used. */
	readonly grantableAt: number;
	/** Time in milliseconds at which the server counts as warm. */
	readonly coldUntil: number;
};

/** An entry's part of a cold server's rate. */
export type RatePermit = {readonly server: number; readonly requestsPerSecond: number};

/** An entry that may have permits. */
export type RateGrantRequest = {
	readonly entry: string;
	/** Time in milliseconds at which its lease ends. */
	readonly expiresAt: number;
	/** Entries that share the permits, this one included. */
	readonly entryCount: number;
	readonly now: number;
};

/** Hands out rates of cold servers. */
export type RateAllocator = {
	/** Adds a cold server, or prolongs the time for which a known one is cold. */
	add(server: RateLimitedServer): void;
	remove(id: number): void;
	/** Gets the permits of an entry. */
	grant(request: RateGrantRequest): readonly RatePermit[];
	/** Notes that an entry holds nothing any more. */
	expireLease(entry: string): void;
	/** Gets the servers that count as warm. */
	getWarmed(now: number): readonly number[];
};

type RatedState = {server: RateLimitedServer; readonly holders: Map<string, number>};

/** Creates an allocator without servers. */
export function createRateAllocator(): RateAllocator {
	const states = new Map<number, RatedState>();

	function dropEnded(holders: Map<string, number>, now: number): void {
		for (const [entry, expiresAt] of holders) {
			if (expiresAt <= now) {
				holders.delete(entry);
			}
		}
	}

	/** Chooses the servers for an entry up to its even part: those that it holds, then those with the fewest holders. */
	function chooseFor(entry: string, entries: number, now: number): readonly RatedState[] {
		const part = Math.ceil(states.size * maximumHolders / Math.max(1, entries));
		const free = [...states.values()].filter(({server, holders}) => now >= server.grantableAt && (holders.has(entry) || holders.size < maximumHolders));
		const held = free.filter(({holders}) => holders.has(entry));
		const others = free.filter(({holders}) => !holders.has(entry)).toSorted((one, other) => one.holders.size - other.holders.size);
		return [...held, ...others].slice(0, part);
	}

	return {
		add(server) {
			const known = states.get(server.id);
			if (known === undefined) {
				states.set(server.id, {server, holders: new Map()});
				return;
			}

			known.server = {...server, grantableAt: known.server.grantableAt, coldUntil: Math.max(server.coldUntil, known.server.coldUntil)};
		},
		remove(id) {
			states.delete(id);
		},
		grant({entry, expiresAt, entryCount: entries, now}) {
			for (const {holders} of states.values()) {
				dropEnded(holders, now);
			}

			return chooseFor(entry, entries, now).map(({server, holders}) => {
				holders.set(entry, expiresAt);
				return {server: server.id, requestsPerSecond: server.requestsPerSecond / maximumHolders};
			});
		},
		expireLease(entry) {
			for (const {holders} of states.values()) {
				holders.delete(entry);
			}
		},
		getWarmed: now => [...states.values()].filter(({server}) => server.coldUntil <= now).map(({server}) => server.id),
	};
}
