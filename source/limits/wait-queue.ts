/**
 * Bounded queue of requests that wait for an available server. A request that is unlikely to start before
 * its deadline is refused on arrival, since it has certainly not run by then and a refusal costs little.
 */

/** Period for which the departure rate is measured, in milliseconds. */
const rateWindowMilliseconds = 250;

/** A waiting request. */
export type Waiter = {
	/** Deadline in milliseconds. */
	readonly deadlineAt: number;
	/** Tries to start the request; returns false if no server is available for it. */
	start(): boolean;
	/** Refuses the request because its deadline has passed, or because no server will be available for it. */
	expire(): void;
	/** Checks whether the request has already ended, for example because its caller disconnected. */
	isSettled(): boolean;
};

/** Bounded queue of waiting requests. */
export type WaitQueue = {
	/** Adds a request; returns false if it must be shed. */
	add(waiter: Waiter, now: number): boolean;
	/** Starts waiting requests as long as servers are available. */
	drain(now: number): void;
	/** Records the end of a request, for the estimate of waiting times. */
	recordDeparture(now: number): void;
	/** Refuses the requests whose deadlines have passed. */
	expire(now: number): void;
	/** Refuses all waiting requests, and sheds further ones. */
	close(): void;
	getLength(): number;
};

/**
 * Creates an empty queue.
 * @param getMaximumLength - Gets the maximum number of waiting requests.
 */
export function createWaitQueue(getMaximumLength: () => number): WaitQueue {
	let waiters: Waiter[] = [];
	let head = 0;
	let departuresPerMillisecond = 0;
	let departures = 0;
	let windowStartedAt: number | undefined;
	let isDraining = false;
	let isClosed = false;

	function getLength(): number {
		return waiters.length - head;
	}

	function compact(): void {
		if (head > 64 && head * 2 > waiters.length) {
			waiters = waiters.slice(head);
			head = 0;
		}
	}

	function getExpectedWaitMilliseconds(): number {
		return departuresPerMillisecond === 0 || windowStartedAt === undefined ? 0 : getLength() / departuresPerMillisecond;
	}

	function removeEnded(now: number): void {
		while (head < waiters.length) {
			const waiter = waiters[head]!;
			if (!waiter.isSettled() && waiter.deadlineAt > now) {
				return;
			}

			head++;
			if (!waiter.isSettled()) {
				waiter.expire();
			}
		}
	}

	function startWaiters(now: number): void {
		removeEnded(now);
		while (head < waiters.length && waiters[head]!.start()) {
			head++;
			removeEnded(now);
		}

		compact();
	}

	return {
		add(waiter, now) {
			if (isClosed || getLength() >= getMaximumLength() || now + getExpectedWaitMilliseconds() > waiter.deadlineAt) {
				return false;
			}

			waiters.push(waiter);
			return true;
		},
		drain(now) {
			// A waiter that starts or expires may call this method again; the running loop then starts the others.
			if (isDraining) {
				return;
			}

			isDraining = true;
			try {
				startWaiters(now);
			} finally {
				isDraining = false;
			}
		},
		recordDeparture(now) {
			// The departure rate reflects the capacity of the servers only while requests wait.
			if (getLength() === 0) {
				windowStartedAt = undefined;
				return;
			}

			if (windowStartedAt === undefined) {
				windowStartedAt = now;
				departures = 0;
				return;
			}

			departures++;
			if (now - windowStartedAt >= rateWindowMilliseconds) {
				departuresPerMillisecond = departures / (now - windowStartedAt);
				windowStartedAt = now;
				departures = 0;
			}
		},
		expire(now) {
			const queued = waiters.slice(head).filter(waiter => !waiter.isSettled());
			// The queue is updated before waiters expire, because a callback may start others.
			waiters = queued.filter(waiter => waiter.deadlineAt > now);
			head = 0;
			for (const waiter of queued) {
				if (waiter.deadlineAt <= now) {
					waiter.expire();
				}
			}
		},
		close() {
			isClosed = true;
			const queued = waiters.slice(head).filter(waiter => !waiter.isSettled());
			waiters = [];
			head = 0;
			for (const waiter of queued) {
				waiter.expire();
			}
		},
		getLength,
	};
}
