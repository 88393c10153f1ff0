/**
 * The slots of a stand-in server: as many requests run at once as it can carry, others wait
 * in order. A cold server carries a few and grows with what it has served.
 */
import {type Behaviour} from './behaviour.js';

/** A request that runs or waits. */
export type Job = {
	start(): void;
	/** Whether its caller has left while it waited. */
	isGone: boolean;
};

/** Slots of a server. */
export type Slots = {
	/** Gets the requests that the server can carry now. */
	getCapacity(): number;
	/** Starts a request as soon as there is a slot. */
	add(job: Job): void;
	/** Takes a slot. */
	take(): void;
	/** Gives a slot back, to the next one that waits. */
	release(): void;
	/** Starts what waits, as far as there are slots. */
	startNext(): void;
	/** Counts a served request towards the end of a cold start; returns whether the server is warm. */
	countServed(): boolean;
	/** Lets a cold start begin anew. */
	cool(): void;
	/** Forgets what waits. */
	clear(): void;
};

/**
 * Creates slots of which none is taken.
 * @param getBehaviour - Gets how the server behaves now.
 */
export function createSlots(getBehaviour: () => Behaviour): Slots {
	let waiting: Job[] = [];
	let busy = 0;
	let servedCold = 0;

	function getCapacity(): number {
		const {isCold, slots, coldSlots, requestsPerColdSlot} = getBehaviour();
		return isCold ? Math.min(slots, coldSlots + Math.floor(servedCold / requestsPerColdSlot)) : slots;
	}

	function startNext(): void {
		while (busy < getCapacity()) {
			const job = waiting.shift();
			if (job === undefined) {
				return;
			}

			if (!job.isGone) {
				job.start();
			}
		}
	}

	return {
		getCapacity,
		add(job) {
			waiting.push(job);
			startNext();
		},
		take() {
			busy++;
		},
		release() {
			busy--;
			startNext();
		},
		startNext,
		countServed() {
			if (getBehaviour().isCold) {
				servedCold++;
			}

			return getCapacity() >= getBehaviour().slots;
		},
		cool() {
			servedCold = 0;
		},
		clear() {
			waiting = [];
		},
	};
}
