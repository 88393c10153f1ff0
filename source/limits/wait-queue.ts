/**
 * Bounded queue of requests that wait for an available server. They start in the order of their ranks; among requests of a rank, that of
 * the workspace with the fewest starts in the last second comes first, and within a workspace the one with the earliest deadline, so that
 * a workspace with many requests delays its own. A request that is unlikely to start before its deadline is refused on arrival, since
 * it has certainly not run by then and a refusal costs little.
 */
import {createRecentCounts} from './recent-counts.js';
import {createWaiterGroup, type WaiterGroup} from './waiter-group.js';
import {type Waiter} from './waiter.js';

/** Period for which the departure rate is measured, in milliseconds. */
const rateWindowMilliseconds = 250;

/** Time constant of the decay of the starts of a workspace, in milliseconds. */
const startRetentionMilliseconds = 1000;

/** Largest part of the queue that the requests of one workspace may take while others wait. */
const maximumWorkspaceShare = 0.5;

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

/** Key of the requests that belong to no workspace; no workspace has an empty name. */
const noWorkspace = '';

/**
 * Creates an empty queue.
 * @param getMaximumLength - Gets the maximum number of waiting requests.
 */
export function createWaitQueue(getMaximumLength: () => number): WaitQueue {
	const groups = new Map<string, WaiterGroup>();
	const starts = createRecentCounts(startRetentionMilliseconds);
	let departuresPerMillisecond = 0;
	let departures = 0;
	let windowStartedAt: number | undefined;
	let isDraining = false;
	let isClosed = false;

	function getLength(): number {
		return [...groups.values()].reduce((sum, group) => sum + group.getLength(), 0);
	}

	function getKey({rank, workspace = noWorkspace}: Waiter): string {
		return `${rank} ${workspace}`;
	}

	function insert(waiter: Waiter): void {
		const key = getKey(waiter);
		const group = groups.get(key) ?? createWaiterGroup(waiter.rank, waiter.workspace ?? noWorkspace);
		groups.set(key, group);
		group.add(waiter);
	}

	function removeEmptyGroups(): void {
		for (const [key, group] of groups) {
			if (group.getLength() === 0) {
				groups.delete(key);
			}
		}
	}

	/** Gets the number of requests that start before one that arrives now. */
	function countAhead(waiter: Waiter): number {
		const ownGroup = groups.get(getKey(waiter));
		const own = ownGroup?.getLength() ?? 0;
		let ahead = own;
		for (const group of groups.values()) {
			if (group.rank < waiter.rank) {
				ahead += group.getLength();
			} else if (group.rank === waiter.rank && group !== ownGroup) {
				// Each other workspace starts about as many requests as the own one until then.
				ahead += Math.min(group.getLength(), own + 1);
			}
		}

		return ahead;
	}

	function getExpectedWaitMilliseconds(waiter: Waiter): number {
		return departuresPerMillisecond === 0 || windowStartedAt === undefined ? 0 : countAhead(waiter) / departuresPerMillisecond;
	}

	function isBeyondWorkspaceShare({workspace = noWorkspace}: Waiter): boolean {
		const own = [...groups.values()].filter(group => group.workspace === workspace).reduce((sum, group) => sum + group.getLength(), 0);
		return own < getLength() && own >= getMaximumLength() * maximumWorkspaceShare;
	}

	/** Removes the requests that have ended, and refuses those whose deadlines have passed. */
	function expire(now: number): void {
		// The queue is updated before waiters expire, because a callback may start others.
		const ended = [...groups.values()].flatMap(group => group.removeAll(waiter => waiter.isSettled() || waiter.deadlineAt <= now));
		removeEmptyGroups();
		for (const waiter of ended) {
			if (!waiter.isSettled()) {
				waiter.expire();
			}
		}
	}

	function isEnded(waiter: Waiter | undefined, now: number): waiter is Waiter {
		return waiter !== undefined && (waiter.isSettled() || waiter.deadlineAt <= now);
	}

	function removeEnded(now: number): void {
		for (const group of groups.values()) {
			for (let first = group.getFirst(); isEnded(first, now); first = group.getFirst()) {
				group.remove(first);
				if (!first.isSettled()) {
					first.expire();
				}
			}
		}

		removeEmptyGroups();
	}

	function compare(one: WaiterGroup, other: WaiterGroup, now: number): number {
		return one.rank - other.rank
			|| starts.get(one.workspace, now) - starts.get(other.workspace, now)
			|| one.getFirst()!.deadlineAt - other.getFirst()!.deadlineAt;
	}

	/** Gets the group whose first request starts next. */
	function findNext(now: number): WaiterGroup | undefined {
		let next: WaiterGroup | undefined;
		for (const group of groups.values()) {
			next = next === undefined || compare(group, next, now) < 0 ? group : next;
		}

		return next;
	}

	function startWaiters(now: number): void {
		removeEnded(now);
		for (let group = findNext(now); group !== undefined; group = findNext(now)) {
			const waiter = group.getFirst()!;
			if (!waiter.start()) {
				return;
			}

			group.remove(waiter);
			starts.add(group.workspace, now);
			removeEnded(now);
		}
	}

	return {
		add(waiter, now) {
			if (isClosed || getLength() >= getMaximumLength() || isBeyondWorkspaceShare(waiter) || now + getExpectedWaitMilliseconds(waiter) > waiter.deadlineAt) {
				return false;
			}

			insert(waiter);
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
			if (groups.size === 0) {
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
		expire,
		close() {
			isClosed = true;
			const queued = [...groups.values()].flatMap(group => group.removeAll(() => true));
			removeEmptyGroups();
			for (const waiter of queued) {
				if (!waiter.isSettled()) {
					waiter.expire();
				}
			}
		},
		getLength,
	};
}
