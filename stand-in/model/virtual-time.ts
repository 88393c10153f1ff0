/** Virtual time for code that reads `performance.now` and sets timers. While it runs, nothing in the process sees the real time. */
import {performance} from 'node:perf_hooks';

/** Virtual time in milliseconds, which passes only when it is advanced. */
export type VirtualTime = {
	getNow(): number;
	/** Lets one millisecond pass, and waits until everything that is due has run. */
	advance(): Promise<void>;
	/** Returns to the real time. Timers that are not due are forgotten. */
	stop(): void;
};

type Timer = {isCleared: boolean; run(): void; unref(): Timer};

/** Starts virtual time at 0. */
export function startVirtualTime(): VirtualTime {
	let now = 0;
	const dueTimers = new Map<number, Timer[]>();

	/** Sets a timer, which runs at the first whole millisecond after its delay. */
	function startTimer(callback: (...args: readonly unknown[]) => void, milliseconds = 0, ...args: readonly unknown[]): Timer {
		const timer: Timer = {
			isCleared: false,
			run() {
				callback(...args);
			},
			unref: () => timer,
		};
		const dueAt = Math.max(now + 1, Math.ceil(now + milliseconds));
		const timers = dueTimers.get(dueAt) ?? [];
		timers.push(timer);
		dueTimers.set(dueAt, timers);
		return timer;
	}

	function clearTimer(timer: Timer | undefined): void {
		if (timer !== undefined) {
			timer.isCleared = true;
		}
	}

	const {now: getRealNow} = performance;
	const realTimers = {setTimeout, clearTimeout};
	Object.assign(performance, {now: () => now});
	Object.assign(globalThis, {setTimeout: startTimer, clearTimeout: clearTimer});
	return {
		getNow: () => now,
		async advance() {
			now++;
			for (const timer of dueTimers.get(now) ?? []) {
				if (!timer.isCleared) {
					timer.run();
				}
			}

			dueTimers.delete(now);
			await new Promise<void>(resolve => {
				setImmediate(resolve);
			});
		},
		stop() {
			Object.assign(performance, {now: getRealNow});
			Object.assign(globalThis, realTimers);
		},
	};
}
