/** Faults of the links between entries and control hosts, and among control hosts: which ones are planned for a scene, and how each is injected and ended. */
import {setTimeout as delay} from 'node:timers/promises';
import {type Random} from '../source/randomness/index.js';
import {type Machine} from '../stand-in/platform/system.js';
import {type FaultTargets} from './faults.js';
import {type Disturbance} from './history.js';
import {type LinkFault} from './link.js';

const entryProbability = 0.6;
const coreProbability = 0.35;
const longestStartMilliseconds = 2000;
const shortestFaultMilliseconds = 500;
const faultRangeMilliseconds = 4500;
const longestDelayMilliseconds = 200;
const longestCloseMilliseconds = 60;
const neverProbability = 0.3;
const wideProbability = 0.5;

/** Kinds of faults, with their weights. */
const kindWeights = {
	'half-open': 0.35,
	cut: 0.2,
	silence: 0.1,
	hold: 0.1,
	'hold-open': 0.1,
	delay: 0.1,
	reset: 0.05,
} as const;

type Kind = keyof typeof kindWeights;

/** Fault that is planned. */
export type PlannedNetworkFault = {
	/** Whether the links of an entry or of a control host are concerned. */
	readonly place: 'entry' | 'core';
	readonly kind: Kind;
	/** Direction, seen from the machine. */
	readonly direction: 'to' | 'from';
	/** Whether the links to all control hosts are concerned, or to one. */
	readonly isWide: boolean;
	readonly index: number;
	readonly peerIndex: number;
	readonly startMilliseconds: number;
	readonly milliseconds: number;
	readonly delayMilliseconds: number;
	readonly closeMilliseconds: number;
};

function chooseKind(random: Random): Kind {
	let rest = random();
	for (const [kind, weight] of Object.entries(kindWeights) as Array<[Kind, number]>) {
		rest -= weight;
		if (rest < 0) {
			return kind;
		}
	}

	return 'half-open';
}

function planFault(random: Random, place: PlannedNetworkFault['place']): PlannedNetworkFault {
	return {
		place,
		kind: chooseKind(random),
		direction: random() < 0.5 ? 'to' : 'from',
		isWide: random() < wideProbability,
		index: Math.floor(random() * 1000),
		peerIndex: Math.floor(random() * 1000),
		startMilliseconds: random() * longestStartMilliseconds,
		milliseconds: shortestFaultMilliseconds + (random() * faultRangeMilliseconds),
		delayMilliseconds: random() * longestDelayMilliseconds,
		closeMilliseconds: random() < neverProbability ? Infinity : random() * longestCloseMilliseconds,
	};
}

/**
 * Plans the faults of a scene: at most one at an entry and one in the core.
 * @param random - Source of random numbers.
 * @param isCoreDisturbed - Whether the scene has another fault of a control host. Then none is planned in the core, so that most of it stays in touch.
 */
export function planNetworkFaults(random: Random, isCoreDisturbed: boolean): readonly PlannedNetworkFault[] {
	const [entry, core] = [planFault(random, 'entry'), planFault(random, 'core')];
	return [
		...(random() < entryProbability ? [entry] : []),
		...(random() < coreProbability && !isCoreDisturbed ? [core] : []),
	];
}

function getLinkFault({kind, direction, delayMilliseconds, closeMilliseconds}: PlannedNetworkFault): LinkFault {
	switch (kind) {
		case 'half-open':
		case 'cut': {
			return {kind, direction};
		}

		case 'silence': {
			return {kind: 'cut', direction: 'both'};
		}

		case 'hold':
		case 'hold-open': {
			return {kind, direction, closeMilliseconds};
		}

		case 'delay': {
			return {kind, milliseconds: delayMilliseconds};
		}

		case 'reset': {
			return {kind};
		}
	}
}

function describeFault({kind, direction, closeMilliseconds}: PlannedNetworkFault, peers: readonly Machine[]): string {
	const hasDirection = kind !== 'silence' && kind !== 'delay' && kind !== 'reset';
	const close = kind.startsWith('hold') ? `, closes ${closeMilliseconds === Infinity ? 'never' : `${Math.round(closeMilliseconds)} ms later`}` : '';
	return `${kind}${hasDirection ? ` ${direction}` : ''} ${peers.map(({name}) => name).join(' ')}${close}`;
}

/** Injects a planned fault, and returns when it is over. A half-open connection disturbs just for the moment in which it becomes one: from then on, its process must notice. */
export async function injectNetworkFault(fault: PlannedNetworkFault, {system, history, machineLinks}: FaultTargets): Promise<void> {
	const {controls, entries} = system;
	const candidates = fault.place === 'entry' ? entries : controls;
	const machine = candidates[fault.index % candidates.length]!;
	const others = controls.filter(control => control !== machine);
	const peers = fault.isWide ? others : [others[fault.peerIndex % others.length]!];
	await delay(fault.startMilliseconds);
	const disturbance: Disturbance = {
		scope: fault.place, name: machine.name, kind: describeFault(fault, peers), from: history.now(), to: undefined,
	};
	history.disturbances.push(disturbance);
	for (const peer of peers) {
		machineLinks.disturb(machine, peer, getLinkFault(fault));
	}

	if (fault.kind !== 'half-open') {
		await delay(fault.milliseconds);
		for (const peer of peers) {
			machineLinks.disturb(machine, peer, undefined);
		}
	}

	disturbance.to = history.now();
}
