/**
 * Chooses by what servers say of themselves just before a request is sent. Load pattern:
 * servers share their hosts with others, so work takes several times as long for some
 * hundred milliseconds, on a quarter of them, and nobody's counts show it in time. A few
 * candidates are asked, the nearest first; the first one that is quiet takes the request.
 */
import {type Random} from '../randomness/index.js';
import {type Candidate} from './candidate.js';
import {isBelowKnee, kneeSlowdown, kneeShare} from './admission.js';

/** What a server says of its load at one moment. */
export type LoadReading = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** How long work takes now, as a multiple of the usual. */
	readonly slowness: number;
};

/** Slowness up to which a server counts as quiet: beyond it, asking another one costs less than it saves. */
const quietSlowness = 1.5;

/** Load that a candidate in another zone counts for, since its bytes are dear. */
const remoteLoad = 1;

/** Candidates of the own zone that are enough for a round of questions; others are asked when these have no room or are slow. */
const enoughNear = 2;

/** Load that a candidate counts for while the control hosts have not heard of it. */
const absentLoad = 1;

/** Spread that keeps equal candidates from being asked in the same order everywhere. */
const spread = 0.2;

/**
 * Gets how long a request would take, as a multiple of its usual time.
 * @param reading - What the server says.
 */
export function getExpectedSlowdown(reading: LoadReading): number {
	const slots = Math.max(1, reading.slots);
	const isBeyondKnee = reading.running + 1 > slots * kneeShare;
	const turns = Math.max(0, reading.running + reading.waiting + 1 - slots) / slots;
	return reading.slowness * (isBeyondKnee ? kneeSlowdown : 1) * (1 + turns);
}

/**
 * Checks whether looking further is not worth the time.
 * @param reading - What the server says.
 */
export function isUncongested(reading: LoadReading): boolean {
	return reading.slowness <= quietSlowness && isBelowKnee(reading);
}

/** Which candidates may be asked. */
export type QuerySelectionOptions = {
	readonly candidates: readonly Candidate[];
	readonly excluded: ReadonlySet<number>;
	readonly zone: string;
	readonly avoidedZones: ReadonlySet<string>;
	readonly count: number;
	/** Whether servers in the own zone go first; not where these had no room. */
	readonly prefersOwnZone: boolean;
	readonly now: number;
};

/**
 * Gets the candidates to ask, the best first.
 * @param choice - Candidates and constraints.
 * @param random - Source of random numbers.
 */
export function selectQueryCandidates(choice: QuerySelectionOptions, random: Random): readonly Candidate[] {
	const {excluded, now} = choice;
	const scored = choice.candidates
		.filter(candidate => !excluded.has(candidate.id) && candidate.isAvailable(now))
		.map(candidate => ({candidate, score: getAskingScore(candidate, choice) + (random() * spread)}));
	const best = scored.toSorted((left, right) => left.score - right.score).slice(0, choice.count).map(({candidate}) => candidate);
	const near = best.filter(candidate => candidate.getAnnouncement().zone === choice.zone);
	return choice.prefersOwnZone && near.length >= enoughNear ? near : best;
}

function getAskingScore(candidate: Candidate, choice: QuerySelectionOptions): number {
	const {zone} = candidate.getAnnouncement();
	const distance = choice.prefersOwnZone && zone !== choice.zone ? remoteLoad : 0;
	const avoidance = choice.avoidedZones.has(zone) ? remoteLoad : 0;
	const presence = candidate.isAbsent() ? absentLoad : 0;
	return candidate.getLoad(choice.now, false) + distance + avoidance + presence;
}
