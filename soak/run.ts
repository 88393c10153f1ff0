/**
 * Plays one run by its seed: scenes in which an operator takes a zone out of service and puts it back several times while a fault
 * is injected, and a steady end without faults. The schedule depends only on the seed; the times of the processes do not.
 */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '../source/randomness/index.js';
import {type Program} from '../stand-in/platform/system.js';
import {contactMilliseconds, findViolations, type Violation} from './checks.js';
import {injectFault, planFault} from './faults.js';
import {createHistory, type History} from './history.js';
import {startWorld, type World} from './world.js';

/** Time after the acknowledgement for which a zone stays out, so that requests that reach it late are seen. */
const outMilliseconds = 7500;

/** Time after the last fault of a scene for which the zone stays out: long enough for all machines to be in touch again. */
const calmMilliseconds = contactMilliseconds + 2000;
const returnMilliseconds = 1200;
const longestGapMilliseconds = 800;
const maximumFlips = 3;
const maximumReorders = 4;
const targetedProbability = 0.8;
const secondFaultProbability = 0.3;

/** Options of `runSoak`. */
export type SoakOptions = {
	readonly seed: number;
	readonly seconds: number;
	/** Program that the machines run; this repository's if undefined. */
	readonly program?: Program;
	/** Number of the run among those that are played at the same time; 0 if undefined. */
	readonly lane?: number;
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

/** Orders a zone out until the order is acknowledged. */
async function evacuate(world: World, zone: string): Promise<void> {
	for (let attempt = 0; attempt < maximumReorders; attempt++) {
		const order = await world.operator.order(zone, true);
		if (order.acknowledgedAt !== undefined) {
			return;
		}
	}
}

/** Plays one scene, which ends with the zone back in service. */
async function playScene(world: World, history: History, random: () => number): Promise<void> {
	const zone = random() < 0.8 ? 'c' : 'b';
	const faults = [planFault(random), ...(random() < secondFaultProbability ? [planFault(random)] : [])].filter((fault, index, all) => index === 0 || fault.kind.endsWith('control') !== all[0]!.kind.endsWith('control'));
	const isTargeted = random() < targetedProbability;
	const flips = 1 + Math.floor(random() * maximumFlips);
	const gaps = Array.from({length: flips}, () => [random() * longestGapMilliseconds, random() * longestGapMilliseconds]);
	await evacuate(world, zone);
	const injected = Promise.all(faults.map(async fault => injectFault(fault, world.faultTargets)));
	world.setFirstControl(isTargeted ? world.controlAddresses[faults[0]!.index % world.controlAddresses.length] : undefined);
	for (const [beforeReturn, beforeEvacuation] of gaps) {
		await delay(beforeReturn);
		await world.operator.order(zone, false);
		world.setFirstControl(undefined);
		await delay(beforeEvacuation);
		await evacuate(world, zone);
	}

	const outFrom = history.now();
	await injected;
	await delay(Math.max(calmMilliseconds, outFrom + outMilliseconds - history.now()));
	await world.operator.order(zone, false);
	await delay(returnMilliseconds);
}

/** Lets everything become calm, and evacuates each of two zones once more. */
async function playSteadyEnd(world: World, history: History): Promise<void> {
	for (const upstream of world.upstreams) {
		upstream.setPlain(true);
	}

	await delay(contactMilliseconds);
	history.steadyFrom = history.now();
	for (const zone of ['b', 'c']) {
		await world.operator.order(zone, false);
	}

	await world.operator.order('c', true);
	await delay(outMilliseconds);
	await world.operator.order('c', false);
}

/**
 * Plays a run and checks its history.
 * @param options - Seed, length and program.
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
	const {seed} = options;
	const random = createRandom(seed);
	// Decisions of their own, so that the requests of the callers do not change the schedule.
	const scheduleRandom = createRandom(seed + 1_000_000);
	const operatorRandom = createRandom(seed + 2_000_000);
	const controls = scheduleRandom() < 0.5 ? 3 : 5;
	const history = createHistory();
	const world = await startWorld({
		controls, program: options.program, lane: options.lane ?? 0, history, random, operatorRandom,
	});
	const blindness = monitorEventLoopDelay();
	blindness.enable();
	try {
		const endsAt = history.now() + (options.seconds * 1000);
		while (history.now() < endsAt) {
			await playScene(world, history, scheduleRandom);
		}

		await playSteadyEnd(world, history);
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
