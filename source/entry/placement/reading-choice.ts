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
 * Checks whether a server has room for any request, and an acceptable slowdown.
 * @param reading - Reading of the server.
 */
export function hasRoomInTime(reading: LoadReading): boolean {
	return hasRoom(reading) && isFastEnough(reading);
}

/**
 * Gets the best server with room; one in the own zone with an acceptable slowdown is preferred, since traffic between zones is expensive.
 * @param readings - Readings in any order.
 * @param criteria - What the request needs.
 */
export function findBestWithRoom(readings: readonly CandidateReading[], {admission, zone, now}: ReadingCriteria): CandidateReading | undefined {
	const admissible = readings
		.filter(({candidate, reading}) => candidate.isAvailable(now) && hasRoom(reading, admission))
		.toSorted((one, other) => getExpectedSlowdown(one.reading) - getExpectedSlowdown(other.reading));
	return admissible.find(({candidate, reading}) => candidate.getAnnouncement().zone === zone && isFastEnough(reading)) ?? admissible[0];
}

/**
 * Formats a reading for the log as running, waiting, slots and slowness.
 * @param reading - Reading of a server.
 */
export function formatReading({running, waiting, slots, slowness}: LoadReading): string {
	return `${running},${waiting},${slots},${slowness}`;
}
