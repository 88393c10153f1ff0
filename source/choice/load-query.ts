/**
 * Chooses the servers to query for their load just before a request is sent. Servers share their hosts with other processes: requests on
 * a quarter of the servers may take several times as long for some hundred milliseconds, and the counts of requests in flight
 * change too late to show this.
 */
import {type Random} from '../randomness/index.js';
import {type Candidate} from './candidate.js';
import {isBelowKnee, kneeSlowdown, kneeShare} from './admission.js';
import {sampleCandidates, type CandidatePools} from './candidate-pools.js';
import {type LoadReading} from './load-reading.js';
import {chooseZone, type ZoneOption} from './zone-choice.js';

/** Maximum expected slowdown of an uncongested server; beyond it, querying another server costs less time than it saves. */
const maximumUncongestedSlowdown = 1.5;

/** Load that is added to a candidate outside the subset, which exceeds the jitter and about two requests in flight. */
const outsideSubsetLoad = 0.4;

/** Load of this entry alone from which on a server counts as full. */
const fullLoad = 1;

/** Candidates that are compared besides the preferred ones. */
const comparedCandidates = 4;

/** Time for which a reading says something about a server, in milliseconds: other processes slow a host down for about as long. */
const readingRetentionMilliseconds = 150;

/** Load that is added to a server that was slow or full a moment ago; it exceeds what distinguishes the servers of the subset. */
const insufficientReadingLoad = 0.6;

/** Load that is subtracted from a server that was uncongested a moment ago. */
const sufficientReadingLoad = 0.2;

/** Random part of the score, so that entries do not all query equal candidates in the same order. */
const orderJitter = 0.2;

/**
 * Gets the expected duration of a request, as a multiple of its usual duration.
 * @param reading - Load that the server reported.
 */
export function getExpectedSlowdown(reading: LoadReading): number {
	const slots = Math.max(1, reading.slots);
	const isBeyondKnee = reading.running + 1 > slots * kneeShare;
	const turns = Math.max(0, reading.running + reading.waiting + 1 - slots) / slots;
	return reading.slowness * (isBeyondKnee ? kneeSlowdown : 1) * (1 + turns);
}

/**
 * Checks whether a server would process a request at about the usual speed, so that no further server needs to be queried.
 * @param reading - Load that the server reported.
 */
export function isUncongested(reading: LoadReading): boolean {
	return getExpectedSlowdown(reading) <= maximumUncongestedSlowdown && isBelowKnee(reading);
}

/** Options for the choice of a server to query. */
export type QueryChoice = {
	readonly pools: CandidatePools;
	/** Ids of the servers that are not queried. */
	readonly excluded: ReadonlySet<number>;
	/** Zone of the entry. */
	readonly zone: string;
	/** Zones in which an attempt has failed. */
	readonly avoidedZones: ReadonlySet<string>;
	/** Gets the estimated share of the servers of a zone that have room. */
	getZoneShare(zone: string): number;
	/** Gets the number of servers of a zone that were queried for this request and did not suffice. */
	getInsufficientReadings(zone: string): number;
	readonly now: number;
};

type ScoredCandidate = {readonly candidate: Candidate; readonly score: number; readonly isFull: boolean};

/**
 * Gets the candidate to query next, or undefined if there is none. One that this entry has filled, or that is absent, is chosen only
 * if there is no other in any zone.
 * @param choice - Candidates and constraints.
 * @param random - Source of random numbers.
 */
export function chooseQueryCandidate(choice: QueryChoice, random: Random): Candidate | undefined {
	const {pools, zone, avoidedZones} = choice;
	const fullCandidates: ScoredCandidate[] = [];
	let zones: readonly ZoneOption[] = [...pools.byZone].map(([name, candidates]) => ({
		zone: name,
		servers: candidates.length + (name === zone ? pools.preferred.length : 0),
		share: choice.getZoneShare(name),
		insufficientReadings: choice.getInsufficientReadings(name),
		isAvoided: avoidedZones.has(name),
	}));
	while (zones.length > 0) {
		const chosenZone = chooseZone(zones, zone, random)!;
		const best = findBest(choice, chosenZone, random);
		if (best?.isFull === false) {
			return best.candidate;
		}

		fullCandidates.push(...best === undefined ? [] : [best]);
		zones = zones.filter(option => option.zone !== chosenZone);
	}

	return fullCandidates.toSorted((left, right) => left.score - right.score)[0]?.candidate;
}

/** Gets the best of some candidates of a zone. */
function findBest(choice: QueryChoice, zone: string, random: Random): ScoredCandidate | undefined {
	const {pools, excluded, now} = choice;
	const isEligible = (candidate: Candidate): boolean => !excluded.has(candidate.id) && candidate.isAvailable(now);
	const preferred = zone === choice.zone ? pools.preferred.filter(candidate => isEligible(candidate)) : [];
	const others = sampleCandidates(pools.byZone.get(zone) ?? [], comparedCandidates, isEligible, random);
	const unfamiliarity = zone === choice.zone && pools.preferred.length > 0 ? outsideSubsetLoad : 0;
	let best: ScoredCandidate | undefined;
	for (const [candidates, addedLoad] of [[preferred, 0], [others, unfamiliarity]] as const) {
		for (const candidate of candidates) {
			const load = candidate.getLoad(now, false);
			const isFull = load >= fullLoad || candidate.isAbsent();
			const score = load + addedLoad + getReadingLoad(candidate, now) + (random() * orderJitter);
			if (best === undefined || (isFull === best.isFull ? score < best.score : best.isFull)) {
				best = {candidate, score, isFull};
			}
		}
	}

	return best;
}

/** Gets the load that the last reading of a server adds, which decreases with the age of the reading. */
function getReadingLoad(candidate: Candidate, now: number): number {
	const last = candidate.getLastReading();
	const weight = last === undefined ? 0 : Math.max(0, 1 - ((now - last.at) / readingRetentionMilliseconds));
	return last === undefined || weight === 0 ? 0 : weight * (isUncongested(last.reading) ? -sufficientReadingLoad : insufficientReadingLoad);
}

/**
 * Checks whether a server was uncongested a moment ago, so that it alone is queried at first.
 * @param candidate - Server to query.
 */
export function wasUncongested(candidate: Candidate, now: number): boolean {
	return getReadingLoad(candidate, now) < 0;
}
