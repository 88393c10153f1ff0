/**
 * Decides how far a server may be filled. Load pattern: several times the usual load for some
 * seconds, while a zone is away. What is sent beyond the slots is late for everybody, and a
 * full server resets connections. While servers are short, each is filled only up to the knee
 * beyond which it works slower, the most urgent requests a little further, and requests that
 * are late already only where there is ample room: an answer in time is worth more to its
 * caller than a late one.
 */
import {type LoadReading} from './load-query.js';

/** Share of its slots beyond which a server slows down by its own load. */
export const kneeShare = 0.8;

/** Share of a server's slots for which requests that nothing outranks may wait there at a calm time; a wait of a fraction of their work. */
const waitingShare = 0.34;

/** Share of the room below the knee that late requests may use while servers are short. */
const lateShare = 0.5;

/** What decides how far a server may be filled with a request. */
export type Admission = {
	/** Whether the request's rank is the most urgent one of its service, and another one is less urgent. */
	readonly isUrgent: boolean;
	/** Whether another rank of its service is more urgent. */
	readonly isOutranked: boolean;
	/** Whether the request can hardly be answered within its target any more. */
	readonly isLate: boolean;
	/** How short of servers the service is, from 0 to 1. */
	readonly shortage: number;
};

/** Admission of a request in no hurry at a calm time. */
export const defaultAdmission: Admission = {
	isUrgent: false, isOutranked: true, isLate: false, shortage: 0,
};

/** Factor by which work takes longer beyond the knee. */
export const kneeSlowdown = 1.7;

/** Gets how many requests a server does the most work with: those below its knee, or all its slots where these are too few for that. */
function getKnee(slots: number): number {
	const below = Math.floor(slots * kneeShare);
	return below >= slots / kneeSlowdown ? below : slots;
}

function getLimitWhenShort(slots: number, {isUrgent, isLate}: Admission): number {
	const knee = getKnee(slots);
	if (isLate) {
		return Math.max(1, Math.floor(knee * lateShare));
	}

	return isUrgent ? Math.min(slots, knee + 1) : knee;
}

function getLimitWhenCalm(slots: number, {isOutranked}: Admission): number {
	return slots + (isOutranked ? 0 : Math.floor(slots * waitingShare));
}

/**
 * Checks whether a server has room for one more request.
 * @param reading - What the server says.
 * @param admission - What is known of the request and of its service.
 */
export function hasRoom(reading: LoadReading, admission: Admission = defaultAdmission): boolean {
	const slots = Math.max(1, reading.slots);
	const calm = getLimitWhenCalm(slots, admission);
	const short = getLimitWhenShort(slots, admission);
	return reading.running + reading.waiting < Math.round(calm + ((short - calm) * admission.shortage));
}

/**
 * Checks whether a server works on what it has without slowing down, and on one request more.
 * @param reading - What the server says.
 */
export function isBelowKnee(reading: LoadReading): boolean {
	return reading.running + reading.waiting < getKnee(reading.slots);
}
