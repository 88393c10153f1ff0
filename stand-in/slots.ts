/**
 * Slots of a stand-in server, which limit how many requests run concurrently. Further
 * requests wait in a FIFO queue. A cold server starts with few slots, and its capacity
 * grows with the number of completed requests.
 */
import {type Behaviour} from './behaviour.js';

/** Request that runs or waits for a slot. */
export type Job = {
	start(): void;
	/** Whether the caller has closed the connection, so that the request must not start. */
	isCancelled: boolean;
};

/** Slots and queue of a server. */
export type Slots = {
	/** Gets the number of requests that the server can currently run concurrently. */
	getCapacity(): number;
	/** Queues a request and starts it as soon as a slot is free. */
	enqueue(job: Job): void;
	/** Occupies a slot; called when a request starts. */
	acquire(): void;
	/** Frees a slot and starts the next queued request. */
	release(): void;
	/** Starts queued requests while slots are free; called after a change of the capacity. */
	startQueuedJobs(): void;
	/** Counts a completed request towards the end of a cold start; returns whether the server is warm. */
	countCompletedRequest(): boolean;
	/** Resets the capacity to that of the beginning of a cold start. */
	restartColdStart(): void;
	/** Discards the queued requests. */
	clearQueue(): void;
};

/**
 * Creates slots that are all free.
 * @param getBehaviour - Gets the current behaviour of the server.
 */
export function createSlots(getBehaviour: () => Behaviour): Slots {
	let queue: Job[] = [];
	let occupiedCount = 0;
	let completedColdCount = 0;

	function getCapacity(): number {
		const {isCold, slots, coldSlots, requestsPerColdSlot} = getBehaviour();
		return isCold ? Math.min(slots, coldSlots + Math.floor(completedColdCount / requestsPerColdSlot)) : slots;
	}

	function startQueuedJobs(): void {
		while (occupiedCount < getCapacity()) {
			const job = queue.shift();
			if (job === undefined) {
				return;
			}

			if (!job.isCancelled) {
				job.start();
			}
		}
	}

	return {
		getCapacity,
		enqueue(job) {
			queue.push(job);
			startQueuedJobs();
		},
		acquire() {
			occupiedCount++;
		},
		release() {
			occupiedCount--;
			startQueuedJobs();
		},
		startQueuedJobs,
		countCompletedRequest() {
			if (getBehaviour().isCold) {
				completedColdCount++;
			}

			return getCapacity() >= getBehaviour().slots;
		},
		restartColdStart() {
			completedColdCount = 0;
		},
		clearQueue() {
			queue = [];
		},
	};
}
