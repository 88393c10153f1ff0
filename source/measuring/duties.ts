/**
 * Assigns each server to at most one prober. A duty moves only after its holder
 * acknowledged a grant without it, or after the holder's lease has ended.
 */

type Duty = {
	readonly entry: string;
	/** Sequence of the last grant that carried the duty. */
	lastSequence: number;
	isRevoked: boolean;
	/** Sequence of the first grant without the duty. */
	revokedSequence: number | undefined;
};

/** Assigns probing duties. */
export type Duties = {
	/** Frees the duties that a holder has acknowledged to have lost. */
	acknowledge(entry: string, acknowledged: number): void;
	/** Frees every duty of a holder whose lease has ended. */
	lose(entry: string): void;
	/** Gets the duties of a holder for one grant. */
	grant(entry: string, sequence: number, servers: readonly number[], live: readonly string[]): readonly number[];
	getProber(server: number): string | undefined;
};

/**
 * Creates an assignment without duties.
 * @param openAt - Time before which servers of an earlier leader may still be probed by others; the caller passes only servers that are open.
 */
export function createDuties(): Duties {
	const duties = new Map<number, Duty>();

	function isWanted(server: number, entry: string, live: readonly string[]): boolean {
		return live.length > 0 && live[server % live.length] === entry;
	}

	function revokeUnwanted(entry: string, sequence: number, wanted: ReadonlySet<number>): void {
		for (const [server, duty] of duties) {
			if (duty.entry === entry && !wanted.has(server) && duty.revokedSequence === undefined) {
				duty.isRevoked = true;
				duty.revokedSequence = sequence;
			}
		}
	}

	return {
		acknowledge(entry, acknowledged) {
			for (const [server, duty] of duties) {
				if (duty.entry === entry && duty.revokedSequence !== undefined && duty.revokedSequence <= acknowledged) {
					duties.delete(server);
				}
			}
		},
		lose(entry) {
			for (const [server, duty] of duties) {
				if (duty.entry === entry) {
					duties.delete(server);
				}
			}
		},
		grant(entry, sequence, servers, live) {
			const wanted = new Set(servers.filter(server => isWanted(server, entry, live)));
			revokeUnwanted(entry, sequence, wanted);
			const granted: number[] = [];
			for (const server of wanted) {
				const duty = duties.get(server);
				if (duty === undefined) {
					duties.set(server, {
						entry, lastSequence: sequence, isRevoked: false, revokedSequence: undefined,
					});
					granted.push(server);
				} else if (duty.entry === entry && !duty.isRevoked) {
					duty.lastSequence = sequence;
					granted.push(server);
				}
			}

			return granted;
		},
		getProber: server => duties.get(server)?.entry,
	};
}
