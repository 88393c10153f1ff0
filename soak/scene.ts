/** Scenes of a run: an operator takes a zone out of service and puts it back several times while faults are injected. */
import {setTimeout as delay} from 'node:timers/promises';
import {type Random} from '../source/randomness/index.js';
import {contactMilliseconds} from './disturbances.js';
import {
	injectFault, planFault, planStatements, type PlannedFault,
} from './faults.js';
import {type History} from './history.js';
import {injectNetworkFault, planNetworkFaults, type PlannedNetworkFault} from './network-faults.js';
import {type ControlAddress, type Operator} from './operator.js';
import {doWork, planWork, type PlannedWork} from './planned-work.js';
import {type World} from './world.js';

/** Time after the acknowledgement for which a zone stays out, so that requests that reach it late are seen. */
const outMilliseconds = 7500;

/** Time after the last fault for which the zone stays out: long enough for all machines to be in touch again. */
const calmMilliseconds = contactMilliseconds + 2000;
const returnMilliseconds = 1200;
const longestGapMilliseconds = 800;
const maximumFlips = 3;
const maximumReorders = 4;

/** Probability that the first order during the fault goes first to the control host that it concerns. */
const targetedProbability = 0.8;
const secondFaultProbability = 0.3;
const secondOperatorProbability = 0.4;
const contestProbability = 0.35;
const maximumVersions = 3;
const versionRangeMilliseconds = 5000;

/** Pauses before an order that puts a zone back and before the next one that takes it out, in milliseconds. */
type Flip = {readonly beforeReturn: number; readonly beforeEvacuation: number};

/** Plan of a scene. */
export type Scene = {
	readonly zone: string;
	readonly faults: readonly PlannedFault[];
	readonly networkFaults: readonly PlannedNetworkFault[];
	readonly work: readonly PlannedWork[];
	readonly isTargeted: boolean;
	readonly flips: readonly Flip[];
	/** Flips of another zone by a second operator at the same time. */
	readonly secondFlips: readonly Flip[];
	/** Whether a third operator gives the opposite of each order of the first operator at the same time. */
	readonly isContested: boolean;
	/** Times at which operators put a new version of the configuration. */
	readonly versionMilliseconds: readonly number[];
};

function planFlips(random: Random): readonly Flip[] {
	const count = 1 + Math.floor(random() * maximumFlips);
	return Array.from({length: count}, () => ({beforeReturn: random() * longestGapMilliseconds, beforeEvacuation: random() * longestGapMilliseconds}));
}

/** Sources of the random numbers of a plan. One of their own for each kind of events, so that a seed keeps its schedule when kinds are added. */
export type PlanRandoms = {
	readonly schedule: Random;
	/** For what the second operator does. */
	readonly second: Random;
	/** For the links of machines; undefined without their faults. */
	readonly network: Random | undefined;
	/** For what the third operator does; undefined without it. */
	readonly third: Random | undefined;
	/** For new versions of the configuration; undefined without them. */
	readonly versions: Random | undefined;
	/** For what upstreams state about themselves; undefined without it. */
	readonly statements: Random | undefined;
	/** For planned work; undefined without it. */
	readonly work: Random | undefined;
};

function isAtControl({kind}: PlannedFault): boolean {
	return kind === 'freeze control' || kind === 'kill control';
}

function isAtEntry({kind}: PlannedFault): boolean {
	return kind === 'freeze entry' || kind === 'kill entry';
}

/**
 * Plans a scene. At most one control host is disturbed at a time.
 * @param randoms - Sources of random numbers.
 */
export function planScene(randoms: PlanRandoms): Scene {
	const {
		schedule: random, second: secondRandom, network, third, versions, statements, work,
	} = randoms;
	const zone = random() < 0.8 ? 'c' : 'b';
	const first = planFault(random);
	const second = random() < secondFaultProbability ? planFault(random) : undefined;
	const isSecondApart = second?.kind.endsWith('control') !== first.kind.endsWith('control');
	const faults = second !== undefined && isSecondApart ? [first, second] : [first];
	const networkFaults = network === undefined ? [] : planNetworkFaults(network, faults.some(fault => isAtControl(fault)));
	const busy = {hasEntry: faults.some(fault => isAtEntry(fault)), hasControl: faults.some(fault => isAtControl(fault)) || networkFaults.some(fault => fault.place === 'core')};
	return {
		zone,
		faults: [...faults, ...statements === undefined ? [] : planStatements(statements)],
		networkFaults,
		work: work === undefined ? [] : planWork(work, busy),
		isTargeted: random() < targetedProbability,
		flips: planFlips(random),
		secondFlips: secondRandom() < secondOperatorProbability ? planFlips(secondRandom) : [],
		isContested: third !== undefined && third() < contestProbability,
		versionMilliseconds: versions === undefined ? [] : Array.from({length: Math.floor(versions() * (maximumVersions + 1))}, () => versions() * versionRangeMilliseconds),
	};
}

/** Orders a zone out until an order is acknowledged. */
async function evacuate(operator: Operator, zone: string): Promise<void> {
	for (let attempt = 0; attempt < maximumReorders; attempt++) {
		const order = await operator.order(zone, true);
		if (order.acknowledgedAt !== undefined) {
			return;
		}
	}
}

async function playFlips(operator: Operator, zone: string, flips: readonly Flip[], firstControl?: ControlAddress): Promise<void> {
	for (const [index, {beforeReturn, beforeEvacuation}] of flips.entries()) {
		await delay(beforeReturn);
		await operator.order(zone, false, index === 0 ? firstControl : undefined);
		await delay(beforeEvacuation);
		await evacuate(operator, zone);
	}
}

/** Plays flips, while a rival gives the opposite of each order at the same time. The zone is out in the end. */
async function playContestedFlips(operator: Operator, rival: Operator, zone: string, flips: readonly Flip[]): Promise<void> {
	for (const {beforeReturn, beforeEvacuation} of flips) {
		await delay(beforeReturn);
		await Promise.all([operator.order(zone, false), rival.order(zone, true)]);
		await delay(beforeEvacuation);
		await Promise.all([operator.order(zone, true), rival.order(zone, false)]);
	}

	await evacuate(operator, zone);
}

/**
 * Plays a scene, which ends with all zones in service.
 * @param scene - Plan.
 * @param world - World in which it is played.
 * @param history - History of the run.
 */
export async function playScene(scene: Scene, world: World, history: History): Promise<void> {
	const {
		zone, faults, networkFaults, flips, secondFlips, isContested, versionMilliseconds,
	} = scene;
	const [operator, secondOperator, thirdOperator] = world.operators;
	const secondZone = zone === 'c' ? 'b' : 'c';
	await evacuate(operator, zone);
	const injected = Promise.all([
		...faults.map(async fault => injectFault(fault, world.faultTargets)),
		...networkFaults.map(async fault => injectNetworkFault(fault, world.faultTargets)),
		...scene.work.map(async work => doWork(work, world.faultTargets)),
	]);
	const firstControl = scene.isTargeted ? world.controlAddresses[faults[0]!.index % world.controlAddresses.length] : undefined;
	const versionsPut = Promise.all(versionMilliseconds.map(async (milliseconds, index) => {
		await delay(milliseconds);
		await world.putNextVersion(world.operators[index % world.operators.length]!);
	}));
	await Promise.all([
		isContested ? playContestedFlips(operator, thirdOperator, zone, flips) : playFlips(operator, zone, flips, firstControl),
		playFlips(secondOperator, secondZone, secondFlips),
	]);
	const outFrom = history.now();
	await Promise.all([injected, versionsPut]);
	await delay(Math.max(calmMilliseconds, outFrom + outMilliseconds - history.now()));
	await Promise.all([operator.order(zone, false), ...(secondFlips.length > 0 ? [secondOperator.order(secondZone, false)] : [])]);
	await delay(returnMilliseconds);
}

/**
 * Lets everything become calm, and takes a zone out of service and puts it back once more.
 * @param world - World in which the run was played.
 * @param history - History of the run.
 */
export async function playSteadyEnd(world: World, history: History): Promise<void> {
	const [operator] = world.operators;
	for (const upstream of world.upstreams) {
		upstream.setPlain(true);
	}

	await delay(contactMilliseconds);
	history.steadyFrom = history.now();
	for (const zone of ['b', 'c']) {
		await operator.order(zone, false);
	}

	await operator.order('c', true);
	await world.putNextVersion(operator);
	await delay(outMilliseconds);
	await operator.order('c', false);
}
