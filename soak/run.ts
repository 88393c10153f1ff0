/** Plays one run by its seed: scenes with faults, and a steady end without. The schedule depends only on the seed; the times of the processes do not. */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {type Random} from '../source/randomness/index.js';
import {type Program} from '../stand-in/platform/system.js';
import {findViolations} from './checks.js';
import {type Violation} from './disturbances.js';
import {createHistory, type History} from './history.js';
import {createStream} from './random-stream.js';
import {
	planScene, playScene, playSteadyEnd, type PlanRandoms,
} from './scene.js';
import {readVersions} from './versions.js';
import {startWorld} from './world.js';

/** Options of `runSoak`. */
export type SoakOptions = {
	readonly seed: number;
	readonly seconds: number;
	/** Program that the machines run; this repository's if undefined. */
	readonly program?: Program;
	/** Number of the run among those that are played at the same time; 0 if undefined. */
	readonly lane?: number;
	/** Whether the newer kinds of events are left out: faults of the links of machines, contested orders, versions and pipelined requests. */
	readonly isPlain?: boolean;
	/** Folder to which the logs of the processes are copied if a check fails. */
	readonly logFolder: string;
};

/** Result of a run. */
export type SoakResult = {
	readonly seed: number;
	readonly controls: number;
	readonly history: History;
	readonly violations: readonly Violation[];
	/** Longest time for which this process was not able to observe, in milliseconds. */
	readonly longestBlindMilliseconds: number;
};

/**
 * Plays a run and checks its history.
 * @param options - Seed, length and program.
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
	const {seed, isPlain = false} = options;
	// Random numbers of their own, so that the requests of the callers do not change the schedule.
	const createNewerStream = (name: string): Random | undefined => isPlain ? undefined : createStream(seed, name);
	const randoms: PlanRandoms = {
		schedule: createStream(seed, 'schedule'),
		second: createStream(seed, 'second schedule'),
		network: createNewerStream('network schedule'),
		third: createNewerStream('third schedule'),
		versions: createNewerStream('versions'),
		statements: createNewerStream('statements'),
		work: createNewerStream('planned work'),
	};
	const controls = seed % 2 === 0 ? 3 : 5;
	const history = createHistory();
	const world = await startWorld({
		controls, program: options.program, lane: options.lane ?? 0, history, seed, isPlain,
	});
	const blindness = monitorEventLoopDelay();
	blindness.enable();
	try {
		let isOver = false;
		const reading = readVersions(world.operators[2], () => isOver);
		const endsAt = history.now() + (options.seconds * 1000);
		while (history.now() < endsAt) {
			await playScene(planScene(randoms), world, history);
		}

		await playSteadyEnd(world, history);
		isOver = true;
		await reading;
		await world.stopCallers();
		const violations = findViolations(history);
		if (violations.length > 0) {
			world.system.saveLogs(options.logFolder);
		}

		return {
			seed, controls, history, violations, longestBlindMilliseconds: Math.round(blindness.max / 1e6),
		};
	} finally {
		blindness.disable();
		await world.stop();
	}
}
