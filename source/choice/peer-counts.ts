/**
 * Exchanges counts of requests in flight between entries and sums those of all peers. Each peer
 * sends only the counts that changed; the counts of a disconnected peer are removed.
 */

/** Counts of requests in flight of one entry that changed since its last message, or all of them. */
export type CountsMessage = {
	readonly kind: 'counts';
	readonly entry: string;
	/** Whether `servers` contains every server with requests in flight rather than only the changed ones. */
	readonly isWhole: boolean;
	readonly servers: readonly number[];
	/** Requests in flight, in the order of `servers`. */
	readonly inFlight: readonly number[];
};

/** Requests in flight from all peers, by server. */
export type PeerCounts = {
	/** Applies a message and returns the servers whose sums changed. */
	receive(message: CountsMessage): readonly number[];
	/** Removes a peer and returns the servers whose sums changed. */
	removePeer(entry: string): readonly number[];
	get(server: number): number;
};

/** Creates counts without peers. */
export function createPeerCounts(): PeerCounts {
	const byPeer = new Map<string, Map<number, number>>();
	const sums = new Map<number, number>();

	function setCount(counts: Map<number, number>, server: number, count: number): void {
		const difference = count - (counts.get(server) ?? 0);
		const sum = (sums.get(server) ?? 0) + difference;
		if (count === 0) {
			counts.delete(server);
		} else {
			counts.set(server, count);
		}

		if (sum === 0) {
			sums.delete(server);
		} else {
			sums.set(server, sum);
		}
	}

	function forget(entry: string): readonly number[] {
		const counts = byPeer.get(entry) ?? new Map<number, number>();
		const servers = [...counts.keys()];
		for (const server of servers) {
			setCount(counts, server, 0);
		}

		byPeer.delete(entry);
		return servers;
	}

	return {
		receive(message) {
			const cleared = message.isWhole ? forget(message.entry) : [];
			const counts = byPeer.get(message.entry) ?? new Map<number, number>();
			byPeer.set(message.entry, counts);
			for (const [index, server] of message.servers.entries()) {
				setCount(counts, server, message.inFlight[index] ?? 0);
			}

			return [...cleared, ...message.servers];
		},
		removePeer: forget,
		get: server => sums.get(server) ?? 0,
	};
}

/** Reports an entry's own counts to its peers. */
export type CountsReporter = {
	/** Gets the counts that changed since the last call, or undefined if none did. */
	takeChanges(counts: Iterable<{readonly server: number; readonly inFlight: number}>): CountsMessage | undefined;
	/** Gets all counts, for a peer that has just connected. */
	getAll(): CountsMessage;
};

/**
 * Creates a reporter.
 * @param entry - Name of the entry.
 */
export function createCountsReporter(entry: string): CountsReporter {
	const sent = new Map<number, number>();

	return {
		takeChanges(counts) {
			const servers: number[] = [];
			const inFlight: number[] = [];
			for (const count of counts) {
				if ((sent.get(count.server) ?? 0) !== count.inFlight) {
					sent.set(count.server, count.inFlight);
					servers.push(count.server);
					inFlight.push(count.inFlight);
				}
			}

			return servers.length === 0
				? undefined
				: {
					kind: 'counts', entry, isWhole: false, servers, inFlight,
				};
		},
		getAll: () => ({
			kind: 'counts', entry, isWhole: true, servers: [...sent.keys()], inFlight: [...sent.values()],
		}),
	};
}
