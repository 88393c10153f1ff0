/**
 * Virtual time for the code of several processes in one. The clocks and timers of Node are replaced, so the product's own code runs
 * unchanged: its timers belong to the virtual process that started them, and do not fire while that process is frozen or after it
 * has ended. All promises that a task settles run before the next task, so a run depends on nothing but its inputs.
 */
import {syncBuiltinESMExports} from 'node:module';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import timersPromises from 'node:timers/promises';

/** Process that can stand still and end. */
export type VirtualProcess = {
	readonly name: string;
	isFrozen: boolean;
	isEnded: boolean;
};

/** Work that a process does at a time. */
export type Task = {
	readonly process: VirtualProcess;
	run(): void;
	/** Called if the process stands still when the task is due, or has ended. */
	onMiss?(reason: 'frozen' | 'ended'): void;
	isCancelled?: boolean;
};

/** Virtual processes with one clock. */
export type VirtualWorld = {
	/** Gets the time in milliseconds. */
	getTime(): number;
	schedule(milliseconds: number, task: Task): void;
	/** Runs code at once as a process. */
	runAs<Value>(process: VirtualProcess, run: () => Value): Value;
	/** Gets the process that runs. */
	getProcessOrThrow(): VirtualProcess;
	freeze(process: VirtualProcess): void;
	/** Lets a process run again; what was due meanwhile follows in the order in which it was due. */
	thaw(process: VirtualProcess): void;
	end(process: VirtualProcess): void;
	/** Runs all tasks that are due before a time. */
	runUntil(time: number): Promise<void>;
};

/** Creates a world at time 0. */
export function createVirtualWorld(): VirtualWorld {
	const tasksByTime = new Map<number, Task[]>();
	const missed = new Map<VirtualProcess, Task[]>();
	let now = 0;
	let current: VirtualProcess | undefined;

	function schedule(milliseconds: number, task: Task): void {
		const at = now + Math.max(0, Math.ceil(milliseconds));
		const tasks = tasksByTime.get(at);
		if (tasks === undefined) {
			tasksByTime.set(at, [task]);
		} else {
			tasks.push(task);
		}
	}

	function miss(task: Task): void {
		const {process} = task;
		if (process.isEnded) {
			task.onMiss?.('ended');
			return;
		}

		task.onMiss?.('frozen');
		missed.set(process, [...missed.get(process) ?? [], task]);
	}

	function runAs<Value>(process: VirtualProcess, run: () => Value): Value {
		const before = current;
		current = process;
		try {
			return run();
		} finally {
			current = before;
		}
	}

	async function runTask(task: Task): Promise<void> {
		current = task.process;
		task.run();
		await settlePromises();
		current = undefined;
	}

	async function runDueTasks(): Promise<void> {
		const tasks = tasksByTime.get(now);
		// Tasks may be added at the same time while others run.
		for (let index = 0; tasks !== undefined && index < tasks.length; index++) {
			const task = tasks[index]!;
			if (task.isCancelled !== true && (task.process.isFrozen || task.process.isEnded)) {
				miss(task);
			} else if (task.isCancelled !== true) {
				await runTask(task);
			}
		}

		tasksByTime.delete(now);
	}

	return {
		getTime: () => now,
		schedule,
		runAs,
		getProcessOrThrow() {
			if (current === undefined) {
				throw new Error('a timer was started outside of a virtual process');
			}

			return current;
		},
		freeze(process) {
			process.isFrozen = true;
		},
		thaw(process) {
			process.isFrozen = false;
			for (const task of missed.get(process) ?? []) {
				schedule(0, task);
			}

			missed.delete(process);
		},
		end(process) {
			process.isEnded = true;
			for (const task of missed.get(process) ?? []) {
				task.onMiss?.('ended');
			}

			missed.delete(process);
		},
		async runUntil(time) {
			for (; now < time; now++) {
				if (tasksByTime.has(now)) {
					await runDueTasks();
				}
			}
		},
	};
}

/** Waits until no promise can settle without a further task: Node calls what is due at the next tick once its queue of promises is empty. */
async function settlePromises(): Promise<void> {
	return new Promise(resolve => {
		process.nextTick(resolve);
	});
}

let activeWorld: VirtualWorld | undefined;

/**
 * Sets the world whose clock the replaced functions use.
 * @param world - World that runs from now on, or undefined if none does.
 */
export function setActiveWorld(world: VirtualWorld | undefined): void {
	activeWorld = world;
}

function startTimer(milliseconds: number, run: () => void): Task {
	const task: Task = {process: activeWorld!.getProcessOrThrow(), run};
	activeWorld!.schedule(milliseconds, task);
	return task;
}

/** Replaces the clocks and timers of Node by those of the active world, as long as there is one, and returns a function that puts them back. */
export function replaceClocks(): () => void {
	const real = {
		setTimeout: globalThis.setTimeout,
		clearTimeout: globalThis.clearTimeout,
		setImmediate: globalThis.setImmediate,
		delay: timersPromises.setTimeout,
		nextTurn: timersPromises.setImmediate,
		getDate: Date.now,
		getTime: performance.now.bind(performance),
	};

	const replacements = {
		setTimeout(run: (...values: unknown[]) => void, milliseconds = 0, ...values: unknown[]) {
			return activeWorld === undefined
				? real.setTimeout(run, milliseconds, ...values)
				: startTimer(milliseconds, () => {
					run(...values);
				});
		},
		clearTimeout(timer: NodeJS.Timeout | Task | undefined) {
			if (timer !== undefined && 'process' in timer) {
				timer.isCancelled = true;
			} else {
				real.clearTimeout(timer);
			}
		},
		setImmediate(run: (...values: unknown[]) => void, ...values: unknown[]) {
			return activeWorld === undefined
				? real.setImmediate(run, ...values)
				: startTimer(0, () => {
					run(...values);
				});
		},
	};

	async function delay<Value>(milliseconds?: number, value?: Value): Promise<Value> {
		return activeWorld === undefined
			? real.delay<Value>(milliseconds, value)
			: new Promise(resolve => {
				startTimer(milliseconds ?? 0, () => {
					resolve(value as Value);
				});
			});
	}

	Object.assign(globalThis, replacements);
	Date.now = () => activeWorld?.getTime() ?? real.getDate();
	Object.defineProperty(performance, 'now', {configurable: true, writable: true, value: () => activeWorld?.getTime() ?? real.getTime()});
	Object.assign(timersPromises, {
		setTimeout: delay,
		setImmediate: async (value: unknown) => activeWorld === undefined ? real.nextTurn(value) : delay(0, value),
	});
	syncBuiltinESMExports();
	return () => {
		Object.assign(globalThis, {setTimeout: real.setTimeout, clearTimeout: real.clearTimeout, setImmediate: real.setImmediate});
		Date.now = real.getDate;
		Object.defineProperty(performance, 'now', {configurable: true, writable: true, value: real.getTime});
		Object.assign(timersPromises, {setTimeout: real.delay, setImmediate: real.nextTurn});
		syncBuiltinESMExports();
	};
}
