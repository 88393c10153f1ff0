/**
 * Assigns each server to at most one prober. A duty moves only after its holder
 * acknowledged a grant without it, or after the holder's lease has ended. Wanted
 * owners change only where a server or a prober comes or goes, so that a grant costs
 * as much as its holder has duties, however many servers there are.
 */

type Duty = {
	readonly entry: string;
	/** Sequence of the first grant without the duty, or undefined while it is wanted. */
	revokedSequence: number | undefined;
};

/** Assigns probing duties. */
export type ProbeDuties = {
	/** Adds a server to probe. */
	add(server: number): void;
	/** Removes a server; its holder keeps the duty until it has acknowledged the loss. */
	remove(server: number): void;
	/** Replaces the entries that may probe. */
	setProbers(entries: readonly string[]): void;
	/** Frees the duties that a holder has acknowledged to have lost. */
	acknowledge(entry: string, acknowledged: number): void;
	/** Frees every duty of a holder whose lease has ended. */
	expireLease(entry: string): void;
	/** Gets the duties of a holder for one grant. */
	grant(entry: string, sequence: number): readonly number[];
	getProber(server: number): string | undefined;
	/** Gets the number of servers to probe. */
	getSize(): number;
	/** Gets the number of servers that have a prober. */
	getHeldCount(): number;
};

/** Creates an assignment without servers and probers. */
export function createProbeDuties(): ProbeDuties {
	const wanted = createWantedOwners();
	const duties = new Map<number, Duty>();
	const heldBy = new Map<string, Set<number>>();

	function free(entry: string, server: number): void {
		duties.delete(server);
		const held = heldBy.get(entry);
		held?.delete(server);
		if (held?.size === 0) {
			heldBy.delete(entry);
		}
	}

	function hold(entry: string, server: number): void {
		duties.set(server, {entry, revokedSequence: undefined});
		const held = heldBy.get(entry) ?? new Set();
		held.add(server);
		heldBy.set(entry, held);
	}

	function revokeUnwanted(entry: string, sequence: number): void {
		for (const server of heldBy.get(entry) ?? []) {
			if (wanted.getOwner(server) !== entry) {
				duties.get(server)!.revokedSequence ??= sequence;
			}
		}
	}

	function isHeldOrTaken(entry: string, server: number): boolean {
		const duty = duties.get(server);
		if (duty === undefined) {
			hold(entry, server);
			return true;
		}

		return duty.entry === entry && duty.revokedSequence === undefined;
	}

	return {
		add: wanted.add,
		remove: wanted.remove,
		setProbers: wanted.setOwners,
		acknowledge(entry, acknowledged) {
			for (const server of heldBy.get(entry) ?? []) {
				const {revokedSequence} = duties.get(server)!;
				if (revokedSequence !== undefined && revokedSequence <= acknowledged) {
					free(entry, server);
				}
			}
		},
		expireLease(entry) {
			for (const server of heldBy.get(entry) ?? []) {
				free(entry, server);
			}
		},
		grant(entry, sequence) {
			revokeUnwanted(entry, sequence);
			return [...wanted.getOwned(entry)].filter(server => isHeldOrTaken(entry, server)).toSorted((left, right) => left - right);
		},
		getProber: server => duties.get(server)?.entry,
		getSize: wanted.getSize,
		getHeldCount: () => duties.size,
	};
}

/** Owners of servers, spread evenly; few move when a server or an owner comes or goes. */
type WantedOwners = {
	add(server: number): void;
	remove(server: number): void;
	setOwners(entries: readonly string[]): void;
	getOwner(server: number): string | undefined;
	getOwned(entry: string): ReadonlySet<number>;
	getSize(): number;
};

const nothing: ReadonlySet<number> = new Set();

function createWantedOwners(): WantedOwners {
	const servers = new Map<number, string | undefined>();
	const owned = new Map<string, Set<number>>();

	function findLeast(): string | undefined {
		let least: string | undefined;
		for (const [entry, set] of owned) {
			if (least === undefined || set.size < owned.get(least)!.size) {
				least = entry;
			}
		}

		return least;
	}

	function findMost(): string | undefined {
		let most: string | undefined;
		for (const [entry, set] of owned) {
			if (most === undefined || set.size > owned.get(most)!.size) {
				most = entry;
			}
		}

		return most;
	}

	function give(server: number, entry: string | undefined): void {
		servers.set(server, entry);
		if (entry !== undefined) {
			owned.get(entry)!.add(server);
		}
	}

	function dropOwner(entry: string): void {
		const orphans = owned.get(entry) ?? new Set();
		owned.delete(entry);
		for (const server of orphans) {
			give(server, findLeast());
		}
	}

	/** Moves servers to a new owner until it has an even share. */
	function addOwner(entry: string): void {
		owned.set(entry, new Set());
		for (const [server, owner] of servers) {
			if (owner === undefined) {
				give(server, entry);
			}
		}

		const share = Math.floor(servers.size / owned.size);
		while (owned.get(entry)!.size < share) {
			const most = findMost()!;
			const [server] = owned.get(most)!;
			owned.get(most)!.delete(server!);
			give(server!, entry);
		}
	}

	return {
		add(server) {
			if (!servers.has(server)) {
				give(server, findLeast());
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
					dropOwner(entry);
				}
			}

			for (const entry of next) {
				if (!owned.has(entry)) {
					addOwner(entry);
				}
			}
		},
		getOwner: server => servers.get(server),
		getOwned: entry => owned.get(entry) ?? nothing,
		getSize: () => servers.size,
	};
}
