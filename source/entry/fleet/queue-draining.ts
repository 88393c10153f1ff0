/** Starts the waiting requests of all services that a server has become available for, and ends those that waited too long. */
import {performance} from 'node:perf_hooks';
import {type Fleet} from './fleet.js';

/**
 * Drains the wait queues of all services.
 * @param fleet - Services of the entry.
 */
export function drainQueues(fleet: Fleet): void {
	const now = performance.now();
	for (const state of fleet.getStates()) {
		if (state.queue.getLength() > 0) {
			state.queue.expire(now);
			state.queue.drain(now);
		}
	}
}
