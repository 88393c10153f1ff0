/** Compares the load readings of queried servers: which of them has room, and which is expected to respond soonest. */
import {
	getExpectedSlowdown, hasRoom, type Admission, type LoadReading,
} from '../../choice/index.js';
import {type CandidateReading} from '../servers/index.js';

/** Expected slowdown beyond which other servers are queried although a server has room, since the response would be late. */
const acceptableSlowdown = 2.2;

/** What a request needs of a server. */
export type ReadingCriteria = {
	readonly admission: Admission;
	/** Zone of the entry. */
	readonly zone: string;
	readonly now: number;
};

/**
 * Checks whether the expected slowdown of a server is acceptable.
 * @param reading - Reading of the server.
 */
export function isFastEnough(reading: LoadReading): boolean {
	return getExpectedSlowdown(reading) <= acceptableSlowdown;
}

/**
 * Gets the best server with room; one in the own zone with an acceptable slowdown is preferred, since traffic between zones is expensive.
 * @param readings - Readings, the ones with the least expected slowdown first.
 * @param criteria - What the request needs.
 */
export function findBestWithRoom(readings: readonly CandidateReading[], {admission, zone, now}: ReadingCriteria): CandidateReading | undefined {
	const admissible = readings.filter(({candidate, reading}) => candidate.isAvailable(now) && hasRoom(reading, admission));
	return admissible.find(({candidate, reading}) => candidate.getAnnouncement().zone === zone && isFastEnough(reading)) ?? admissible[0];
}

/**
 * Gets the one of two servers that is expected to respond faster.
 * @param one - Reading that is preferred if both are equal.
 * @param other - Another reading.
 */
export function getBetter(one: CandidateReading | undefined, other: CandidateReading | undefined): CandidateReading | undefined {
	if (one === undefined || other === undefined) {
		return one ?? other;
	}

	return getExpectedSlowdown(other.reading) < getExpectedSlowdown(one.reading) ? other : one;
}

/**
 * Formats a reading for the log as running, waiting, slots and slowness.
 * @param reading - Reading of a server.
 */
export function formatReading({running, waiting, slots, slowness}: LoadReading): string {
	return `${running},${waiting},${slots},${slowness}`;
}
