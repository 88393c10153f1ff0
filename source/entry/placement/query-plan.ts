/**
 * Decides which servers are queried for their load before a request is sent, and which of them receives it. Servers are queried one
 * after another, since the first one usually has room and a reply from the own zone takes a fraction of the request's duration; two
 * at once if the first one is not likely to have room. The next one is queried when a reply does not suffice or does not arrive soon.
 */
import {
	chooseQueryCandidate, isBelowKnee, isUncongested, wasUncongested, type Admission, type Candidate, type LoadReading, type ZoneRoom, type CandidatePools,
} from '../../choice/index.js';
import {sustainedShortage} from '../../limits/index.js';
import {type Random} from '../../randomness/index.js';
import {type CandidateReading} from '../servers/index.js';
import {
	findBestWithRoom, hasRoomInTime, isFastEnough, type ReadingCriteria,
} from './reading-choice.js';

/** Age beyond which the reading of a server with one free slot is confirmed before the request is sent, in milliseconds; others may have taken it. */
const maximumReadingAgeMilliseconds = 1.5;

/** Maximum number of servers whose readings are confirmed. */
const maximumConfirmations = 2;

/** Shares of the servers of a zone with room below which two and three are queried at once. */
const singleQueryShare = 0.5;
const doubleQueryShare = 0.25;

/** Options of a query plan. */
export type QueryPlanOptions = {
	readonly pools: CandidatePools;
	readonly zoneRoom: ZoneRoom;
	/** Zone of the entry. */
	readonly zone: string;
	/** Servers that have already received an attempt. */
	readonly excluded: ReadonlySet<number>;
	/** Zones in which an attempt has failed. */
	readonly avoidedZones: ReadonlySet<string>;
	/** Number of servers after whose replies one with an acceptable slowdown is selected. */
	readonly count: number;
	/** Maximum number of servers that are queried. */
	readonly maximumCount: number;
	getAdmission(now: number): Admission;
	readonly random: Random;
};

/** Queries before one request. */
export type QueryPlan = {
	/** Gets the servers to query now; none while replies are awaited. */
	getNext(now: number): readonly Candidate[];
	recordReading(candidate: Candidate, reading: LoadReading, now: number): void;
	/** Records that a server has not replied soon, so that another one is queried meanwhile. */
	recordDelay(candidate: Candidate, now: number): void;
	/** Records that the reply of a server is not awaited any more. */
	recordMiss(candidate: Candidate): void;
	/** Checks whether the selection is complete. */
	isComplete(now: number): boolean;
	/** Gets the best server with room. */
	getBest(now: number): CandidateReading | undefined;
	/** Gets the load of the servers that replied, with the requests that this entry has sent them since. */
	getReadings(): readonly CandidateReading[];
	/** Checks whether a server was below its knee, or had an acceptable slowdown beyond it among the first ones. */
	hasFoundCapacity(): boolean;
	getQueryCount(): number;
};

type Query = {readonly candidate: Candidate; startCount: number; state: 'awaited' | 'delayed' | 'ended'; reading: LoadReading | undefined; readAt: number};

/**
 * Creates a plan without queries.
 * @param options - Candidates and constraints.
 */
export function createQueryPlan(options: QueryPlanOptions): QueryPlan {
	const {zone, zoneRoom, count, maximumCount, random} = options;
	const queries = new Map<number, Query>();
	const insufficientReadings = new Map<string, number>();
	let hasFoundCapacity = false;
	let isExhausted = false;
	let confirmations = 0;

	function getReadings(): readonly CandidateReading[] {
		return [...queries.values()].flatMap(({candidate, reading, startCount}) => reading === undefined
			? []
			: [{candidate, reading: {...reading, running: reading.running + candidate.getStartCount() - startCount}}]);
	}

	function getCriteria(now: number): ReadingCriteria {
		return {admission: options.getAdmission(now), zone, now};
	}

	/** Checks whether a server is taken at once. In a shortage, a slot that is free now would be taken by others during further queries. */
	function isSufficient({candidate, reading}: CandidateReading, now: number): boolean {
		const criteria = getCriteria(now);
		const isShort = criteria.admission.shortage >= sustainedShortage;
		return (isUncongested(reading) || (isShort && isFastEnough(reading))) && findBestWithRoom([{candidate, reading}], criteria) !== undefined;
	}

	function countQueries(state: Query['state']): number {
		return [...queries.values()].filter(query => query.state === state).length;
	}

	function choose(now: number): Candidate | undefined {
		return chooseQueryCandidate({
			pools: options.pools,
			excluded: new Set([...options.excluded, ...queries.keys()]),
			zone,
			avoidedZones: options.avoidedZones,
			getZoneShare: name => zoneRoom.getShare(name, now),
			getInsufficientReadings: name => insufficientReadings.get(name) ?? 0,
			now,
		}, random);
	}

	function getBest(now: number): CandidateReading | undefined {
		return findBestWithRoom(getReadings(), getCriteria(now));
	}

	/** Gets the query whose reading is confirmed before the request is sent. */
	function findUnconfirmed(now: number): Query | undefined {
		const best = getBest(now);
		const query = best === undefined ? undefined : queries.get(best.candidate.id)!;
		const isLastSlot = best !== undefined && best.reading.running + best.reading.waiting + 1 >= best.reading.slots;
		return isLastSlot && confirmations < maximumConfirmations && now - query!.readAt > maximumReadingAgeMilliseconds ? query : undefined;
	}

	/** Checks whether no further server is queried. */
	function isSearchComplete(now: number): boolean {
		const readings = getReadings();
		if (readings.some(reading => isSufficient(reading, now))) {
			return true;
		}

		const awaited = countQueries('awaited');
		if (hasAcceptable(now) && (queries.size >= count || isExhausted) && awaited === 0) {
			return true;
		}

		return (queries.size >= maximumCount || isExhausted) && awaited === 0 && countQueries('delayed') === 0;
	}

	function hasAcceptable(now: number): boolean {
		const best = getBest(now);
		return best !== undefined && isFastEnough(best.reading);
	}

	function countInsufficient(serverZone: string): void {
		insufficientReadings.set(serverZone, (insufficientReadings.get(serverZone) ?? 0) + 1);
	}

	/** Gets the number of servers that may be queried at once. */
	function getWidth(next: Candidate, now: number): number {
		const share = wasUncongested(next, now) ? 1 : zoneRoom.getShare(next.getAnnouncement().zone, now);
		if (share >= singleQueryShare) {
			return 1;
		}

		return share >= doubleQueryShare ? 2 : 3;
	}

	function confirm(now: number): readonly Candidate[] {
		const query = findUnconfirmed(now);
		if (query === undefined) {
			return [];
		}

		confirmations++;
		query.state = 'awaited';
		query.reading = undefined;
		query.startCount = query.candidate.getStartCount();
		return [query.candidate];
	}

	return {
		getNext(now) {
			if (isSearchComplete(now)) {
				return confirm(now);
			}

			const next: Candidate[] = [];
			const limit = hasAcceptable(now) ? count : maximumCount;
			for (let awaited = countQueries('awaited'), width = 1; awaited < width && queries.size < limit && !isExhausted; awaited++) {
				const candidate = choose(now);
				if (candidate === undefined) {
					isExhausted = true;
					break;
				}

				width = Math.max(width, getWidth(candidate, now));
				queries.set(candidate.id, {
					candidate, startCount: candidate.getStartCount(), state: 'awaited', reading: undefined, readAt: now,
				});
				next.push(candidate);
			}

			return next;
		},
		recordReading(candidate, reading, now) {
			const query = queries.get(candidate.id)!;
			const {zone: serverZone} = candidate.getAnnouncement();
			query.state = 'ended';
			query.reading = reading;
			query.readAt = now;
			zoneRoom.record(serverZone, hasRoomInTime(reading), now);
			hasFoundCapacity ||= isBelowKnee(reading) || (queries.size <= count && hasAcceptable(now));
			if (!isSufficient({candidate, reading}, now)) {
				countInsufficient(serverZone);
			}
		},
		recordDelay(candidate, now) {
			const query = queries.get(candidate.id)!;
			if (query.state === 'awaited') {
				const {zone: serverZone} = candidate.getAnnouncement();
				query.state = 'delayed';
				zoneRoom.record(serverZone, false, now);
				countInsufficient(serverZone);
			}
		},
		recordMiss(candidate) {
			queries.get(candidate.id)!.state = 'ended';
		},
		isComplete: now => isSearchComplete(now) && findUnconfirmed(now) === undefined,
		getBest,
		getReadings,
		hasFoundCapacity: () => hasFoundCapacity,
		getQueryCount: () => queries.size + confirmations,
	};
}
