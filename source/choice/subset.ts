/**
 * Chooses the servers of the own zone that an entry prefers to query. With hundreds of entries each sends a few requests a second;
 * spread over all servers of its zone, its connections would be idle until they close, and each request would open new ones.
 * The subset is the entry's highest ranks by rendezvous hashing: it needs no coordination, a server that joins or leaves moves
 * one place of an entry at most, and the servers get about the same number of entries. Servers outside the subset are queried as
 * soon as those within it are loaded, absent or unavailable.
 */
import {createHash} from 'node:crypto';
import {type Candidate} from './candidate.js';

/** Number of servers of a service that an entry prefers. */
const subsetSize = 8;

/** Gets the rank of a server for an entry, a number that is random but fixed for the pair. */
function getRank(entry: string, server: string): number {
	return createHash('sha256').update(`${entry}\n${server}`).digest().readUIntBE(0, 6);
}

/** Chooses the preferred servers of one entry. */
export type SubsetChooser = {
	/** Gets the ids of the preferred servers of a service, or undefined if the zone has too few servers for a choice. */
	choose(candidates: readonly Candidate[]): ReadonlySet<number> | undefined;
};

/** Options of `createSubsetChooser`. */
export type SubsetOptions = {
	/** Name of the entry. */
	readonly entry: string;
	readonly zone: string;
};

/**
 * Creates the chooser of an entry.
 * @param options - Entry and its zone.
 */
export function createSubsetChooser({entry, zone}: SubsetOptions): SubsetChooser {
	const ranks = new WeakMap<Candidate, number>();

	function getCachedRank(candidate: Candidate): number {
		const rank = ranks.get(candidate) ?? getRank(entry, candidate.getAnnouncement().name);
		ranks.set(candidate, rank);
		return rank;
	}

	return {
		choose(candidates) {
			const inZone = candidates.filter(candidate => candidate.getAnnouncement().zone === zone);
			if (inZone.length <= subsetSize) {
				return undefined;
			}

			const ranked = inZone.toSorted((one, other) => getCachedRank(other) - getCachedRank(one));
			return new Set(ranked.slice(0, subsetSize).map(({id}) => id));
		},
	};
}
