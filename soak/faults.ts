/** Faults of a run: which ones are planned for a scene, and how each is injected and ended. */
import {setTimeout as delay} from 'node:timers/promises';
import {type Random} from '../source/randomness/index.js';
import {type Machine, type PlatformSystem} from '../stand-in/platform/system.js';
import {type Disturbance, type History} from './history.js';
import {type Link, type LinkFault} from './link.js';
import {type MachineLinks} from './machine-links.js';
import {type Upstream} from './upstream.js';

const longestStartMilliseconds = 500;
const shortestFaultMilliseconds = 1000;
const faultRangeMilliseconds = 3000;
const longestCloseMilliseconds = 60;
const neverProbability = 0.2;
const longestDelayMilliseconds = 80;

/** Time for which an upstream that leaves stays in addition, since requests may reach it until then (`drain_ms`). */
const drainMilliseconds = 2000;

/** Kinds of faults, with their weights. */
const kindWeights = {
	'freeze control': 0.3,
	'hold orders': 0.2,
	'hold orders and responses': 0.06,
	'cut responses to orders': 0.06,
	'reset orders': 0.04,
	'kill control': 0.08,
	'freeze entry': 0.05,
	'kill entry': 0.05,
	'delay upstream': 0.04,
	'hold upstream': 0.04,
	'reset upstream': 0.04,
	'restart upstream': 0.04,
} as const;

/** Kinds in which an upstream states something about itself. They come beside the others, so that a seed keeps its schedule. */
const statementKinds = ['leave upstream', 'pause upstream'] as const;

const statementProbability = 0.2;

type Kind = keyof typeof kindWeights | typeof statementKinds[number];

/** Fault that is planned: what happens to which machine or upstream, from when on, and for how long. */
export type PlannedFault = {
	readonly kind: Kind;
	readonly index: number;
	readonly startMilliseconds: number;
	readonly milliseconds: number;
	readonly closeMilliseconds: number;
	readonly delayMilliseconds: number;
};

/** Processes and links to which faults are injected. */
export type FaultTargets = {
	readonly system: PlatformSystem;
	readonly history: History;
	/** Links between the operators and each control host. */
	readonly controlLinks: readonly Link[];
	readonly upstreams: readonly Upstream[];
	/** Links between the entries and each upstream, by the upstream's name. */
	readonly upstreamLinks: ReadonlyMap<string, Link>;
	readonly machineLinks: MachineLinks;
};

function chooseKind(random: Random): Kind {
	let rest = random();
	for (const [kind, weight] of Object.entries(kindWeights) as Array<[keyof typeof kindWeights, number]>) {
		rest -= weight;
		if (rest < 0) {
			return kind;
		}
	}

	return 'freeze control';
}

/**
 * Plans a fault.
 * @param random - Source of random numbers.
 * @param choose - Chooses its kind.
 */
export function planFault(random: Random, choose: (random: Random) => Kind = chooseKind): PlannedFault {
	return {
		kind: choose(random),
		index: Math.floor(random() * 1000),
		startMilliseconds: random() * longestStartMilliseconds,
		milliseconds: shortestFaultMilliseconds + (random() * faultRangeMilliseconds),
		closeMilliseconds: random() < neverProbability ? Infinity : random() * longestCloseMilliseconds,
		delayMilliseconds: random() * longestDelayMilliseconds,
	};
}

/**
 * Plans what an upstream states about itself, if it does.
 * @param random - Source of random numbers.
 */
export function planStatements(random: Random): readonly PlannedFault[] {
	return random() < statementProbability ? [planFault(random, source => statementKinds[Math.floor(source() * statementKinds.length)]!)] : [];
}

function describeFault({kind, closeMilliseconds}: PlannedFault): string {
	if (!kind.startsWith('hold')) {
		return kind;
	}

	return `${kind}, closes ${closeMilliseconds === Infinity ? 'never' : `${Math.round(closeMilliseconds)} ms later`}`;
}

/** Injects a planned fault, and returns when it is over. */
export async function injectFault(fault: PlannedFault, targets: FaultTargets): Promise<void> {
	const {system, history} = targets;
	const control = system.controls[fault.index % system.controls.length]!;
	const entry = system.entries[fault.index % system.entries.length]!;
	const upstream = targets.upstreams[fault.index % targets.upstreams.length]!;

	async function disturb(scope: Disturbance['scope'], name: string, start: () => void | Promise<void>, end: () => void | Promise<void>): Promise<void> {
		const disturbance: Disturbance = {
			scope, name, kind: describeFault(fault), from: history.now(), to: undefined,
		};
		history.disturbances.push(disturbance);
		await start();
		await delay(fault.milliseconds);
		await end();
		disturbance.to = history.now();
	}

	async function freeze(machine: Machine): Promise<void> {
		await disturb(machine.kind === 'control' ? 'core' : 'entry', machine.name, () => {
			machine.child!.kill('SIGSTOP');
		}, () => {
			machine.child!.kill('SIGCONT');
		});
	}

	async function kill(machine: Machine): Promise<void> {
		await disturb(machine.kind === 'control' ? 'core' : 'entry', machine.name, async () => system.terminate(machine, 'SIGKILL'), () => {
			system.start(machine, false);
		});
	}

	async function disturbLink(scope: 'operator' | 'path', name: string, link: Link, linkFault: LinkFault): Promise<void> {
		await disturb(scope, name, () => {
			link.start(linkFault);
		}, () => {
			link.end();
		});
	}

	async function disturbOrders(linkFault: LinkFault): Promise<void> {
		await disturbLink('operator', control.name, targets.controlLinks[system.controls.indexOf(control)]!, linkFault);
	}

	async function disturbUpstream(linkFault: LinkFault): Promise<void> {
		await disturbLink('path', upstream.name, targets.upstreamLinks.get(upstream.name)!, linkFault);
	}

	async function restartUpstream(): Promise<void> {
		await disturb('path', upstream.name, () => {
			upstream.crash();
		}, async () => upstream.restart());
	}

	await delay(fault.startMilliseconds);
	const {closeMilliseconds} = fault;
	switch (fault.kind) {
		case 'freeze control': {
			return freeze(control);
		}

		case 'freeze entry': {
			return freeze(entry);
		}

		case 'kill control': {
			return kill(control);
		}

		case 'kill entry': {
			return kill(entry);
		}

		case 'hold orders': {
			return disturbOrders({kind: 'hold', direction: 'to', closeMilliseconds});
		}

		case 'hold orders and responses': {
			return disturbOrders({kind: 'hold', direction: 'both', closeMilliseconds});
		}

		case 'cut responses to orders': {
			return disturbOrders({kind: 'cut', direction: 'from'});
		}

		case 'reset orders': {
			return disturbOrders({kind: 'reset'});
		}

		case 'delay upstream': {
			return disturbUpstream({kind: 'delay', milliseconds: fault.delayMilliseconds});
		}

		case 'hold upstream': {
			return disturbUpstream({kind: 'hold', direction: 'both', closeMilliseconds});
		}

		case 'reset upstream': {
			return disturbUpstream({kind: 'reset'});
		}

		case 'leave upstream': {
			await disturb('statement', upstream.name, () => {
				upstream.setWithdrawal('leaving');
			}, async () => delay(drainMilliseconds));
			return restartUpstream();
		}

		case 'pause upstream': {
			return disturb('statement', upstream.name, () => {
				upstream.setWithdrawal('pausing');
			}, () => {
				upstream.setWithdrawal(undefined);
			});
		}

		case 'restart upstream': {
			return restartUpstream();
		}
	}
}
