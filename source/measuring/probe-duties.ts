/**
 * Assigns the duty to probe a server to at most one entry at a time. A duty moves to another entry only after its holder has
 * acknowledged a grant that does not contain it, or after the holder's lease has ended. The desired owner of a server changes
 * only when a server or a prober is added or removed, so that the cost of a grant depends on the number of duties of its
 * holder and not on the number of servers.
 */

/** A duty that an entry holds. */
type Duty = {
	readonly entry: string;
	/** First grant without the duty, or undefined until it is revoked. */
	revocation: Revocation | undefined;
};

/** Grant without a duty, to the process of the holder that renewed last. */
type Revocation = {readonly process: string | undefined; readonly sequence: number};

/** Assigns probe duties. */
export type ProbeDuties = {
	/** Adds a server to probe. */
	add(server: number): void;
	/** Removes a server; its holder keeps the duty until it has acknowledged the revocation. */
	remove(server: number): void;
	/** Replaces the entries that may probe. */
	setProbers(entries: readonly string[]): void;
	/** Releases the revoked duties that a process of a holder has acknowledged. */
	acknowledge(entry: string, acknowledged: number, process?: string): void;
	/** Releases all duties of a holder whose lease has ended. */
	expireLease(entry: string): void;
	/** Gets the duties of a holder for one grant to one of its processes. */
	grant(entry: string, sequence: number, process?: string): readonly number[];
	getProber(server: number): string | undefined;
	/** Gets the number of servers to probe. */
	getSize(): number;
	/** Gets the number of servers that have a prober. */
	getHeldCount(): number;
};

/** Creates probe duties without servers or probers. */
export function createProbeDuties(): ProbeDuties {
	const desired = createDesiredOwners();
	const duties = new Map<number, Duty>();
	const serversByHolder = new Map<string, Set<number>>();

	function release(entry: string, server: number): void {
		duties.delete(server);
		const held = serversByHolder.get(entry);
		held?.delete(server);
		if (held?.size === 0) {
			serversByHolder.delete(entry);
		}
	}

	function assignDuty(entry: string, server: number): void {
		duties.set(server, {entry, revocation: undefined});
		const held = serversByHolder.get(entry) ?? new Set();
		held.add(server);
		serversByHolder.set(entry, held);
	}

	/** Revokes the duties of a holder whose servers have another desired owner, and again those that were revoked from another of its processes. */
	function revokeUndesired(entry: string, {process, sequence}: Revocation): void {
		for (const server of serversByHolder.get(entry) ?? []) {
			const duty = duties.get(server)!;
			const isDue = duty.revocation === undefined ? desired.getOwner(server) !== entry : duty.revocation.process !== process;
			if (isDue) {
				duty.revocation = {process, sequence};
			}
		}
	}

	/** Assigns a duty that nobody holds. Returns whether the entry now holds it and it is not revoked. */
	function tryAssignDuty(entry: string, server: number): boolean {
		const duty = duties.get(server);
		if (duty === undefined) {
			assignDuty(entry, server);
			return true;
		}

		return duty.entry === entry && duty.revocation === undefined;
	}

	return {
		add: desired.add,
		remove: desired.remove,
		setProbers: desired.setOwners,
		acknowledge(entry, acknowledged, process) {
			for (const server of serversByHolder.get(entry) ?? []) {
				const {revocation} = duties.get(server)!;
				if (revocation?.process === process && revocation !== undefined && revocation.sequence <= acknowledged) {
					release(entry, server);
				}
			}
		},
		expireLease(entry) {
			for (const server of serversByHolder.get(entry) ?? []) {
				release(entry, server);
			}
		},
		grant(entry, sequence, process) {
			revokeUndesired(entry, {process, sequence});
			return [...desired.getOwned(entry)].filter(server => tryAssignDuty(entry, server)).toSorted((left, right) => left - right);
		},
		getProber: server => duties.get(server)?.entry,
		getSize: desired.getSize,
		getHeldCount: () => duties.size,
	};
}

/** Assigns servers to owners in even shares; few servers move when an owner is added or removed. */
type DesiredOwners = {
	add(server: number): void;
	remove(server: number): void;
	setOwners(entries: readonly string[]): void;
	getOwner(server: number): string | undefined;
	getOwned(entry: string): ReadonlySet<number>;
	getSize(): number;
};

const noServers: ReadonlySet<number> = new Set();

function createDesiredOwners(): DesiredOwners {
	const servers = new Map<number, string | undefined>();
	const owned = new Map<string, Set<number>>();

	function findOwnerWithFewestServers(): string | undefined {
		let least: string | undefined;
		for (const [entry, set] of owned) {
			if (least === undefined || set.size < owned.get(least)!.size) {
				least = entry;
			}
		}

		return least;
	}

	function findOwnerWithMostServers(): string | undefined {
		let most: string | undefined;
		for (const [entry, set] of owned) {
			if (most === undefined || set.size > owned.get(most)!.size) {
				most = entry;
			}
		}

		return most;
	}

	function assign(server: number, entry: string | undefined): void {
		servers.set(server, entry);
		if (entry !== undefined) {
			owned.get(entry)!.add(server);
		}
	}

	function removeOwner(entry: string): void {
		const unassignedServers = owned.get(entry) ?? new Set();
		owned.delete(entry);
		for (const server of unassignedServers) {
			assign(server, findOwnerWithFewestServers());
		}
	}

	/** Moves servers to a new owner until it has an even share. */
	function addOwner(entry: string): void {
		owned.set(entry, new Set());
		for (const [server, owner] of servers) {
			if (owner === undefined) {
				assign(server, entry);
			}
		}

		const share = Math.floor(servers.size / owned.size);
		while (owned.get(entry)!.size < share) {
			const most = findOwnerWithMostServers()!;
			const [server] = owned.get(most)!;
			owned.get(most)!.delete(server!);
			assign(server!, entry);
		}
	}

	return {
		add(server) {
			if (!servers.has(server)) {
				assign(server, findOwnerWithFewestServers());
			}
		},
		remove(server) {
			const owner = servers.get(server);
			servers.delete(server);
			if (owner !== undefined) {
				owned.get(owner)!.delete(server);
			}
		},
		setOwners(entries) {
			const next = new Set(entries);
			for (const entry of owned.keys()) {
				if (!next.has(entry)) {
					removeOwner(entry);
				}
			}

			for (const entry of next) {
				if (!owned.has(entry)) {
					addOwner(entry);
				}
			}
		},
		getOwner: server => servers.get(server),
		getOwned: entry => owned.get(entry) ?? noServers,
		getSize: () => servers.size,
	};
}
