/** Waiting requests of one rank and workspace, in the order of their deadlines, and in that of their arrival if these are equal. */
import {type Waiter, type WaiterRank} from './waiter.js';

/** Number of removed waiters from which on the list is shortened. */
const minimumCompaction = 64;

/** Waiting requests of one rank and workspace. */
export type WaiterGroup = {
	readonly rank: WaiterRank;
	readonly workspace: string;
	add(waiter: Waiter): void;
	/** Gets the first waiter. */
	getFirst(): Waiter | undefined;
	remove(waiter: Waiter): void;
	/** Removes all waiters for which a condition holds, and returns them. */
	removeAll(condition: (waiter: Waiter) => boolean): readonly Waiter[];
	getLength(): number;
};

/**
 * Creates an empty group.
 * @param rank - Rank of its waiters.
 * @param workspace - Workspace of its waiters.
 */
export function createWaiterGroup(rank: WaiterRank, workspace: string): WaiterGroup {
	let waiters: Waiter[] = [];
	let head = 0;
	return {
		rank,
		workspace,
		add(waiter) {
			let index = waiters.length;
			while (index > head && waiters[index - 1]!.deadlineAt > waiter.deadlineAt) {
				index--;
			}

			waiters.splice(index, 0, waiter);
		},
		getFirst: () => waiters[head],
		remove(waiter) {
			if (waiters[head] !== waiter) {
				waiters = waiters.slice(head).filter(other => other !== waiter);
				head = 0;
				return;
			}

			head++;
			if (head > minimumCompaction && head * 2 > waiters.length) {
				waiters = waiters.slice(head);
				head = 0;
			}
		},
		removeAll(condition) {
			const queued = waiters.slice(head);
			const removed = queued.filter(waiter => condition(waiter));
			waiters = queued.filter(waiter => !condition(waiter));
			head = 0;
			return removed;
		},
		getLength: () => waiters.length - head,
	};
}
