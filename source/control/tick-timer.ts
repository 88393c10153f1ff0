/** Runs the ticks of a replica when they are due. */
import {performance} from 'node:perf_hooks';
import {type Replica} from '../consensus/index.js';

/** Timer of ticks. */
export type TickTimer = {
	/** Schedules the next tick if it is due earlier than the scheduled one. */
	update(): void;
	stop(): void;
};

/**
 * Creates a timer without a scheduled tick.
 * @param replica - Replica whose ticks are scheduled.
 * @param onTick - Called when a tick is due.
 */
export function createTickTimer(replica: Replica, onTick: () => void): TickTimer {
	let timer: NodeJS.Timeout | undefined;
	let nextTickAt = Number.POSITIVE_INFINITY;

	/** Schedules the next tick; if its due time is postponed later, the timer runs one tick without effect. */
	function schedule(): void {
		clearTimeout(timer);
		nextTickAt = replica.getNextTickAt();
		timer = setTimeout(() => {
			// After a long turn of the event loop, messages of peers may be pending. They are read before the tick checks for silent peers.
			setImmediate(tick);
		}, Math.max(0, nextTickAt - performance.now()));
	}

	function tick(): void {
		nextTickAt = Number.POSITIVE_INFINITY;
		onTick();
	}

	return {
		update() {
			if (replica.getNextTickAt() < nextTickAt) {
				schedule();
			}
		},
		stop() {
			clearTimeout(timer);
		},
	};
}
