/**
 * Decides how many requests a server may have in flight. In a shortage of servers, each server is filled only up to the knee,
 * beyond which it slows down: while a zone is unavailable, the load is several times the usual one for some seconds, requests
 * beyond a server's slots delay all of its requests, and a full server resets connections. The most urgent requests may exceed
 * the knee by one. Late requests are admitted only to servers well below it, because a response that meets its target is
 * worth more to its caller than a late one.
 */
import {type LoadReading} from './load-reading.js';

/** Share of the slots of a server beyond which its own load slows it down. */
export const kneeShare = 0.8;

/** Share by which requests of the highest rank may exceed the slots of a server outside a shortage; they wait on the server for a fraction of their service time. */
const waitingSlotShare = 0.34;

/** Share of the slots below the knee that late requests may use in a shortage. */
const lateRequestShare = 0.5;

/** Properties of a request and its service that limit how far a server may be filled. */
export type Admission = {
	/** Whether the request has the most urgent of several ranks of its service. */
	readonly isUrgent: boolean;
	/** Whether its service has a more urgent rank. */
	readonly isOutranked: boolean;
	/** Whether the request is unlikely to be answered within its target latency. */
	readonly isLate: boolean;
	/** Shortage of servers of the service, from 0 (none) to 1 (full). */
	readonly shortage: number;
};

/** Admission of a request of low urgency while there is no shortage. */
export const defaultAdmission: Admission = {
	isUrgent: false, isOutranked: true, isLate: false, shortage: 0,
};

/** Factor by which work takes longer beyond the knee. */
export const kneeSlowdown = 1.7;

/** Gets the number of requests at which throughput is highest: the slots below the knee, or all slots of a server with too few of them. */
function getKneeSlots(slots: number): number {
	const slotsBelowKnee = Math.floor(slots * kneeShare);
	return slotsBelowKnee >= slots / kneeSlowdown ? slotsBelowKnee : slots;
}

function getShortageLimit(slots: number, {isUrgent, isLate}: Admission): number {
	const knee = getKneeSlots(slots);
	if (isLate) {
		return Math.max(1, Math.floor(knee * lateRequestShare));
	}

	return isUrgent ? Math.min(slots, knee + 1) : knee;
}

function getNormalLimit(slots: number, {isOutranked}: Admission): number {
	return slots + (isOutranked ? 0 : Math.floor(slots * waitingSlotShare));
}

/**
 * Checks whether a server has room for one more request.
 * @param reading - Load that the server reported.
 * @param admission - Urgency of the request and shortage of its service.
 */
export function hasRoom(reading: LoadReading, admission: Admission = defaultAdmission): boolean {
	const slots = Math.max(1, reading.slots);
	const normalLimit = getNormalLimit(slots, admission);
	const shortageLimit = getShortageLimit(slots, admission);
	return reading.running + reading.waiting < Math.round(normalLimit + ((shortageLimit - normalLimit) * admission.shortage));
}

/**
 * Checks whether a server can work on one more request without slowing down.
 * @param reading - Load that the server reported.
 */
export function isBelowKnee(reading: LoadReading): boolean {
	return reading.running + reading.waiting < getKneeSlots(reading.slots);
}
