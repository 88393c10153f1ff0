/** World of a run: the processes of the deploy file, upstreams in three zones, links, callers of each entry, and three operators. */
import {setTimeout as delay} from 'node:timers/promises';
import {createPlatformSystem, type PlatformSystem, type Program} from '../stand-in/platform/system.js';
import {startCallers} from './callers.js';
import {type FaultTargets} from './faults.js';
import {type History} from './history.js';
import {openLink, type Link} from './link.js';
import {openMachineLinks} from './machine-links.js';
import {tempers, type Temper} from './manner.js';
import {createOperator, type ControlAddress, type Operator} from './operator.js';
import {startPipeliningCaller} from './pipelining-caller.js';
import {createStream} from './random-stream.js';
import {startUpstream, type Upstream} from './upstream.js';
import {putNextVersion} from './versions.js';

const zones = ['a', 'b', 'c'];
const entriesPerZone = 2;
const callersPerEntry = 3;

/** Third numbers of the loopback addresses of the machines, the upstreams, and the links to both and between machines. */
const subnets = {
	machines: 21, upstreams: 23, controlLinks: 24, upstreamLinks: 25, machineLinks: 26,
};

/** Distance between the subnets of runs that are played at the same time. */
const laneSubnets = 10;
const ports = {
	control: 27_246, links: 27_260, front: 27_244, ready: 27_240,
};
const upstreamPort = 27_280;
const readyLimitMilliseconds = 20_000;
const pollMilliseconds = 100;

/** Tempers of the upstreams of a zone. */
const temperPairs: ReadonlyArray<readonly [Temper, Temper]> = [
	[tempers.steady, tempers.stuttering],
	[tempers.stuttering, tempers.faulty],
	[tempers.steady, tempers.interrupting],
];

/** A world that is running. */
export type World = {
	readonly system: PlatformSystem;
	readonly upstreams: readonly Upstream[];
	readonly operators: readonly [Operator, Operator, Operator];
	readonly controlAddresses: readonly ControlAddress[];
	readonly faultTargets: FaultTargets;
	/** Puts the next version of the configuration. */
	putNextVersion(operator: Operator): Promise<void>;
	/** Stops the callers and waits for their pending requests. */
	stopCallers(): Promise<void>;
	stop(): Promise<void>;
};

/** Options of `startWorld`. */
export type WorldOptions = {
	readonly controls: number;
	readonly program: Program | undefined;
	/** Number of the run among those that are played at the same time. */
	readonly lane: number;
	readonly history: History;
	/** Whether no caller pipelines its requests. */
	readonly isPlain: boolean;
	/** Seed of the decisions of callers, upstreams and operators. */
	readonly seed: number;
};

async function waitUntilReady(system: PlatformSystem): Promise<void> {
	for (const until = Date.now() + readyLimitMilliseconds; Date.now() < until;) {
		const ready = await Promise.all(system.entries.map(async entry => system.isReady(entry)));
		if (ready.every(Boolean)) {
			return;
		}

		await delay(pollMilliseconds);
	}

	throw new Error('the entries are not ready in time');
}

/**
 * Starts a world, and returns when its entries are ready and its callers have started.
 * @param options - Number of control hosts, program, history and random numbers.
 */
export async function startWorld(options: WorldOptions): Promise<World> {
	const {history, seed} = options;
	const random = createStream(seed, 'traffic');
	const getHost = (subnet: number, number: number): string => `127.0.${subnet + (laneSubnets * options.lane)}.${number}`;
	const environments = new Map<string, NodeJS.ProcessEnv>();
	const system = await createPlatformSystem({
		controls: options.controls, entries: zones.length * entriesPerZone, ports, zones, subnet: subnets.machines + (laneSubnets * options.lane), program: options.program, environments,
	});
	const machines = [...system.controls, ...system.entries];
	const machineLinks = await openMachineLinks({
		machines, controls: system.controls, port: ports.links, getHost: number => getHost(subnets.machineLinks, number),
	});
	for (const machine of machines) {
		environments.set(machine.name, machineLinks.getEnvironment(machine));
	}

	const controlLinks: Link[] = [];
	const controlAddresses: ControlAddress[] = [];
	for (const [index, {name, host}] of system.controls.entries()) {
		const address: ControlAddress = {
			name, host: getHost(subnets.controlLinks, index + 1), port: ports.control, ownHost: host,
		};
		controlAddresses.push(address);
		controlLinks.push(await openLink({
			host: address.host, port: address.port, targetHost: host, targetPort: ports.control,
		}));
	}

	const upstreams: Upstream[] = [];
	const upstreamLinks = new Map<string, Link>();
	const firstPair = Math.floor(random() * temperPairs.length);
	for (const [zoneIndex, zone] of zones.entries()) {
		const pair = temperPairs[(zoneIndex + firstPair) % temperPairs.length]!;
		for (const temper of pair) {
			const number = upstreams.length + 1;
			const [host, linkHost] = [getHost(subnets.upstreams, number), getHost(subnets.upstreamLinks, number)];
			const name = `i-${zone}${number}`;
			upstreamLinks.set(name, await openLink({
				host: linkHost, port: upstreamPort, targetHost: host, targetPort: upstreamPort,
			}));
			upstreams.push(await startUpstream({
				name, zone, host, port: upstreamPort, advertisedAddress: `${linkHost}:${upstreamPort}`,
				controlAddresses: system.getControlAddresses(), temper, history, random,
			}));
		}
	}

	async function stopProcesses(): Promise<void> {
		await system.stop();
		for (const link of [...controlLinks, ...upstreamLinks.values(), machineLinks]) {
			link.close();
		}

		for (const upstream of upstreams) {
			upstream.stop();
		}
	}

	try {
		for (const machine of machines) {
			system.start(machine, true);
		}

		const createSeededOperator = (name: string, followsRedirections = true): Operator => createOperator({
			history, random: createStream(seed, name), otherRandom: createStream(seed, `${name}, other calls`), controls: controlAddresses, followsRedirections,
		});
		const operators = [createSeededOperator('operator'), createSeededOperator('second operator'), createSeededOperator('third operator', false)] as const;
		const versionRandom = createStream(seed, 'version numbers');
		const putNext = async (operator: Operator): Promise<void> => putNextVersion(operator, history, versionRandom);
		while (history.versions.every(({acknowledgedAt}) => acknowledgedAt === undefined)) {
			await putNext(operators[0]);
		}

		await waitUntilReady(system);
		const pipeliningRandom = createStream(seed, 'pipelining');
		const callers = system.entries.flatMap(({name, host}) => {
			const place = {
				entry: name, host, port: ports.front, history,
			};
			return [
				startCallers({...place, count: callersPerEntry, random}),
				...(options.isPlain ? [] : [startPipeliningCaller({...place, random: pipeliningRandom})]),
			];
		});
		const stopCallers = async (): Promise<void> => {
			await Promise.all(callers.map(async group => group.stop()));
		};

		return {
			system,
			upstreams,
			operators,
			controlAddresses,
			faultTargets: {
				system, history, controlLinks, upstreamLinks, upstreams, machineLinks,
			},
			putNextVersion: putNext,
			stopCallers,
			async stop() {
				await stopCallers();
				await stopProcesses();
			},
		};
	} catch (error) {
		await stopProcesses();
		throw error;
	}
}
