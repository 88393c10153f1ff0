/**
 * Holds requests that arrive before the entry has a document. An entry that has just started gets one within a few round trips, so a
 * short wait serves most of these callers at once. After a power loss of all hosts it takes longer; callers are then told to come back
 * once a leader is likely to be elected, since many of them retry only once.
 */
import {type Subject, take} from 'rxjs';
import {type Exchange} from '../callers/index.js';

/** Maximum time for which a request is held, in milliseconds: a small part of any caller's target. */
const maximumHoldMilliseconds = 100;

/** Maximum number of requests that are held at the same time, which bounds the memory. */
const maximumHeldRequests = 200;

/** Time after which a caller may retry that an entry without a document refuses, in milliseconds: about the time from the start of all hosts to the first leases. */
export const startRetryMilliseconds = 500;

/** Requests that wait for the first document. */
export type StartHold = {
	/** Holds a request, and continues when the document is in force or the time is over. Returns false if too many are held. */
	add(exchange: Exchange, onEnd: () => void): boolean;
};

/**
 * Creates a hold without requests.
 * @param documentChanges - Emits when a document is in force.
 */
export function createStartHold(documentChanges: Subject<void>): StartHold {
	let heldRequests = 0;
	return {
		add({response}, onEnd) {
			if (heldRequests >= maximumHeldRequests) {
				return false;
			}

			heldRequests++;
			const timer = setTimeout(end, maximumHoldMilliseconds);
			const subscription = documentChanges.pipe(take(1)).subscribe(end);
			let isEnded = false;

			function end(): void {
				if (isEnded) {
					return;
				}

				isEnded = true;
				heldRequests--;
				clearTimeout(timer);
				subscription.unsubscribe();
				if (!response.destroyed) {
					onEnd();
				}
			}

			return true;
		},
	};
}
