/**
 * A bounded queue of requests that wait for an open server. A request that could
 * not be served before its deadline is refused on arrival, while "not run" is true
 * and cheap to say.
 */

/** Time over which the rate of departures is averaged, in milliseconds. */
const rateWindowMilliseconds = 250;

/** A request that waits. */
export type Waiter = {
	/** Deadline in milliseconds. */
	readonly deadlineAt: number;
	/** Tries to start the request; returns false when no server is open for it. */
	start(): boolean;
	/** Refuses the request because its deadline has passed. */
	expire(): void;
	isAbandoned(): boolean;
};

/** A bounded queue. */
export type WaitQueue = {
	/** Adds a request; returns false when it must be shed. */
	add(waiter: Waiter, now: number): boolean;
	/** Starts as many waiting requests as servers are open. */
	drain(now: number): void;
	/** Counts a request that ended, for the estimate of waiting times. */
	recordDeparture(now: number): void;
	expire(now: number): void;
	getLength(): number;
};

/**
 * Creates an empty queue.
 * @param getBound - Gets the largest number of waiting requests.
 */
export function createWaitQueue(getBound: () => number): WaitQueue {
	let waiters: Waiter[] = [];
	let head = 0;
	let rate = 0;
	let departures = 0;
	let countedFrom: number | undefined;
	let isDraining = false;

	function getLength(): number {
		return waiters.length - head;
	}

	function trim(): void {
		if (head > 64 && head * 2 > waiters.length) {
			waiters = waiters.slice(head);
			head = 0;
		}
	}

	function getExpectedWait(): number {
		return rate === 0 || countedFrom === undefined ? 0 : getLength() / rate;
	}

	function dropEnded(now: number): void {
		while (head < waiters.length) {
			const waiter = waiters[head]!;
			if (!waiter.isAbandoned() && waiter.deadlineAt > now) {
				return;
			}

			head++;
			if (!waiter.isAbandoned()) {
				waiter.expire();
			}
		}
	}

	function startWaiting(now: number): void {
		dropEnded(now);
		while (head < waiters.length && waiters[head]!.start()) {
			head++;
			dropEnded(now);
		}

		trim();
	}

	return {
		add(waiter, now) {
			if (getLength() >= getBound() || now + getExpectedWait() > waiter.deadlineAt) {
				return false;
			}

			waiters.push(waiter);
			return true;
		},
		drain(now) {
			// A waiter that starts or ends may ask for more; the loop that runs goes on with them.
			if (isDraining) {
				return;
			}

			isDraining = true;
			try {
				startWaiting(now);
			} finally {
				isDraining = false;
			}
		},
		recordDeparture(now) {
			// Only while requests wait does the rate show what the servers can do.
			if (getLength() === 0) {
				countedFrom = undefined;
				return;
			}

			if (countedFrom === undefined) {
				countedFrom = now;
				departures = 0;
				return;
			}

			departures++;
			if (now - countedFrom >= rateWindowMilliseconds) {
				rate = departures / (now - countedFrom);
				countedFrom = now;
				departures = 0;
			}
		},
		expire(now) {
			const queued = waiters.slice(head).filter(waiter => !waiter.isAbandoned());
			// The queue is in order before anybody is told: an end may start others.
			waiters = queued.filter(waiter => waiter.deadlineAt > now);
			head = 0;
			for (const waiter of queued) {
				if (waiter.deadlineAt <= now) {
					waiter.expire();
				}
			}
		},
		getLength,
	};
}
