/**
 * Selects the servers to query for their load just before a request is sent. A few candidates are queried, those of the own
 * zone first, and the first uncongested one receives the request. Servers share their hosts with other processes: requests on
 * a quarter of the servers may take several times as long for some hundred milliseconds, and the counts of requests in flight
 * change too late to show this.
 */
import {type Random} from '../randomness/index.js';
import {type Candidate} from './candidate.js';
import {isBelowKnee, kneeSlowdown, kneeShare} from './admission.js';
import {type LoadReading} from './load-reading.js';

/** Maximum slowness of an uncongested server; beyond it, querying another server costs less time than it saves. */
const maximumUncongestedSlowness = 1.5;

/** Load that is added to a candidate in another zone, because traffic between zones is expensive. */
const otherZoneLoad = 1;

/** Candidates of the own zone that suffice for a round of queries; other zones are queried if these have no room or are slow. */
const sufficientOwnZoneCandidates = 2;

/** Load that is added to a candidate outside the subset, which exceeds the jitter and about two requests in flight. */
const outsideSubsetLoad = 0.4;

/** Load that is added to a candidate while the control hosts report it absent. */
const absentLoad = 1;

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
	return reading.slowness <= maximumUncongestedSlowness && isBelowKnee(reading);
}

/** Options for the selection of servers to query. */
export type QuerySelectionOptions = {
	readonly candidates: readonly Candidate[];
	readonly excluded: ReadonlySet<number>;
	readonly zone: string;
	readonly avoidedZones: ReadonlySet<string>;
	readonly count: number;
	/** Whether servers in the own zone come first; false once these had no room. */
	readonly prefersOwnZone: boolean;
	/** Ids of the servers in the own zone that the entry prefers; undefined if it prefers none. */
	readonly subset?: ReadonlySet<number>;
	readonly now: number;
};

/**
 * Gets the candidates to query, the best first.
 * @param choice - Candidates and constraints of the selection.
 * @param random - Source of random numbers.
 */
export function selectQueryCandidates(choice: QuerySelectionOptions, random: Random): readonly Candidate[] {
	const {excluded, now} = choice;
	const scored = choice.candidates
		.filter(candidate => !excluded.has(candidate.id) && candidate.isAvailable(now))
		.map(candidate => ({candidate, score: getQueryScore(candidate, choice) + (random() * orderJitter)}));
	const selected = scored.toSorted((left, right) => left.score - right.score).slice(0, choice.count).map(({candidate}) => candidate);
	const inOwnZone = selected.filter(candidate => candidate.getAnnouncement().zone === choice.zone);
	return choice.prefersOwnZone && inOwnZone.length >= sufficientOwnZoneCandidates ? inOwnZone : selected;
}

function getQueryScore(candidate: Candidate, choice: QuerySelectionOptions): number {
	const {zone} = candidate.getAnnouncement();
	const distance = choice.prefersOwnZone && zone !== choice.zone ? otherZoneLoad : 0;
	const unfamiliarity = choice.prefersOwnZone && choice.subset?.has(candidate.id) === false ? outsideSubsetLoad : 0;
	const avoidance = choice.avoidedZones.has(zone) ? otherZoneLoad : 0;
	const absence = candidate.isAbsent() ? absentLoad : 0;
	return candidate.getLoad(choice.now, false) + distance + unfamiliarity + avoidance + absence;
}
