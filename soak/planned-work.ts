/** Planned work of a scene: processes that are stopped in order and started again, or told to read their settings again. */
import {setTimeout as delay} from 'node:timers/promises';
import {type Random} from '../source/randomness/index.js';
import {type Machine} from '../stand-in/platform/system.js';
import {type FaultTargets} from './faults.js';
import {type Disturbance} from './history.js';

const workProbability = 0.6;
const longestStartMilliseconds = 3000;
const longestDownMilliseconds = 1500;

const kinds = ['stop entry', 'stop control', 'reload entry', 'reload control'] as const;

/** Work that is planned. */
export type PlannedWork = {
	readonly kind: typeof kinds[number];
	readonly index: number;
	readonly startMilliseconds: number;
	/** Time for which a stopped process stays down. */
	readonly downMilliseconds: number;
};

/** Machines that other faults of the scene concern, and that are therefore not stopped. */
export type BusyMachines = {readonly hasEntry: boolean; readonly hasControl: boolean};

/**
 * Plans the work of a scene.
 * @param random - Source of random numbers.
 * @param busy - Machines that other faults concern.
 */
export function planWork(random: Random, busy: BusyMachines): readonly PlannedWork[] {
	const isPlanned = random() < workProbability;
	const work: PlannedWork = {
		kind: kinds[Math.floor(random() * kinds.length)]!,
		index: Math.floor(random() * 1000),
		startMilliseconds: random() * longestStartMilliseconds,
		downMilliseconds: random() * longestDownMilliseconds,
	};
	const isBusy = (work.kind === 'stop entry' && busy.hasEntry) || (work.kind === 'stop control' && busy.hasControl);
	return isPlanned && !isBusy ? [work] : [];
}

/**
 * Does planned work, and returns when it is over.
 * @param work - Planned work.
 * @param targets - Machines.
 */
export async function doWork(work: PlannedWork, {system, history}: FaultTargets): Promise<void> {
	async function record(scope: Disturbance['scope'], machine: Machine, run: () => void | Promise<void>): Promise<void> {
		const disturbance: Disturbance = {
			scope, name: machine.name, kind: work.kind, isPlanned: true, from: history.now(), to: undefined,
		};
		history.disturbances.push(disturbance);
		await run();
		disturbance.to = history.now();
	}

	async function stop(machine: Machine): Promise<void> {
		await record(machine.kind === 'control' ? 'core' : 'entry', machine, async () => {
			await system.terminate(machine, 'SIGTERM');
			await delay(work.downMilliseconds);
			system.start(machine, false);
		});
	}

	async function reload(machine: Machine): Promise<void> {
		await record('settings', machine, () => {
			machine.child!.kill('SIGHUP');
		});
	}

	await delay(work.startMilliseconds);
	const entry = system.entries[work.index % system.entries.length]!;
	const control = system.controls[work.index % system.controls.length]!;
	switch (work.kind) {
		case 'stop entry': {
			return stop(entry);
		}

		case 'stop control': {
			return stop(control);
		}

		case 'reload entry': {
			return reload(entry);
		}

		case 'reload control': {
			return reload(control);
		}
	}
}
