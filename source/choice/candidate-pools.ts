/**
 * Groups the candidates of a service by zone, so that each choice compares a few of them instead of all. The groups are computed
 * once for each list of candidates.
 */
import {type Random} from '../randomness/index.js';
import {type Candidate} from './candidate.js';

/** Random draws for each candidate wanted in a sample, before all candidates are scanned for an eligible one. */
const drawsPerCandidate = 3;

/** Candidates of a service by zone. */
export type CandidatePools = {
	/** Candidates of each zone; those of the own zone without the preferred ones. */
	readonly byZone: ReadonlyMap<string, readonly Candidate[]>;
	/** Candidates of the own zone that the entry prefers. */
	readonly preferred: readonly Candidate[];
};

/** Options of `createCandidatePools`. */
export type CandidatePoolsOptions = {
	readonly candidates: readonly Candidate[];
	/** Ids of the servers in the own zone that the entry prefers; undefined if it prefers none. */
	readonly subset: ReadonlySet<number> | undefined;
};

/**
 * Groups candidates.
 * @param options - Candidates, and those that the entry prefers.
 */
export function createCandidatePools({candidates, subset}: CandidatePoolsOptions): CandidatePools {
	const preferred = candidates.filter(({id}) => subset?.has(id));
	const others = candidates.filter(({id}) => !subset?.has(id));
	const zones = new Set(candidates.map(candidate => candidate.getAnnouncement().zone));
	return {
		preferred,
		byZone: new Map([...zones].map(zone => [zone, others.filter(candidate => candidate.getAnnouncement().zone === zone)])),
	};
}

/**
 * Draws distinct eligible candidates at random, or gets all of them if there are few.
 * @param candidates - Candidates to draw from.
 * @param count - Maximum number of candidates.
 * @param isEligible - Checks whether a candidate may be drawn.
 * @param random - Source of random numbers.
 */
export function sampleCandidates(candidates: readonly Candidate[], count: number, isEligible: (candidate: Candidate) => boolean, random: Random): readonly Candidate[] {
	if (candidates.length <= count * drawsPerCandidate) {
		return candidates.filter(candidate => isEligible(candidate));
	}

	const drawn = new Set<Candidate>();
	for (let draw = 0; draw < count * drawsPerCandidate && drawn.size < count; draw++) {
		const candidate = candidates[Math.floor(random() * candidates.length)]!;
		if (isEligible(candidate)) {
			drawn.add(candidate);
		}
	}

	return drawn.size > 0 ? [...drawn] : findEligible(candidates, isEligible, random);
}

/** Finds the first eligible candidate from a random one on. */
function findEligible(candidates: readonly Candidate[], isEligible: (candidate: Candidate) => boolean, random: Random): readonly Candidate[] {
	const from = Math.floor(random() * candidates.length);
	const found = candidates.find((candidate, index) => index >= from && isEligible(candidate)) ?? candidates.find(candidate => isEligible(candidate));
	return found === undefined ? [] : [found];
}
