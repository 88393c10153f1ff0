/** Plays a plan: three control hosts, two entries and two operators in one process, with virtual time. */
import {type Api, type ApiOptions} from '../../source/control/index.js';
import {createRandom} from '../../source/randomness/index.js';
import {type Log} from '../../source/telemetry/index.js';
import {type Coverage} from './coverage.js';
import {startModelEntry, type ModelEntry} from './entry.js';
import {scheduleFaults} from './faults.js';
import {createHistory, type History} from './history.js';
import {getReplicaId, startModelHost, type ModelHost} from './host.js';
import {createLinks} from './links.js';
import {emptyDisk, openMemoryStore, type MemoryDisk} from './memory-store.js';
import {createNetwork} from './network.js';
import {runOperator, type OperatorOptions} from './operator.js';
import {
	entryCount, hostCount, type OperatorStep, type Plan,
} from './plan.js';
import {createVirtualWorld, setActiveWorld, type VirtualProcess} from './virtual-world.js';

/** What a run showed. */
export type PlayedRun = {
	readonly history: History;
	/** Zones that are out of service at each host at the end. */
	readonly zonesOut: ReadonlyArray<readonly string[]>;
	/** Whether each entry holds a lease at the end. */
	readonly leases: readonly boolean[];
	readonly failures: readonly Error[];
};

/** Options of `play`. */
export type PlayOptions = {
	readonly createApi: (options: ApiOptions) => Api;
	readonly renderConfiguration: (version: number) => string;
	readonly coverage: Coverage;
	/** Called with each event if the run is to be traced. */
	readonly trace?: (text: string) => void;
};

const zones: readonly string[] = ['a', 'b'];

/** Time in which the first leader is elected. */
const startMilliseconds = 600;

/** Longest time that the steps of the operators take. */
const maximumStepsMilliseconds = 20_000;

/** Time in which everything that is under way has its effect, once the faults have ended. */
const settleMilliseconds = 1700;

/** Longest time after that in which a host that missed a snapshot receives another one. */
const maximumCatchUpMilliseconds = 12_000;

const catchUpCheckMilliseconds = 500;
const readMilliseconds = 3500;

const finalReads: readonly OperatorStep[] = Array.from({length: hostCount}, (_, firstHost) => ({kind: 'read', pause: 0, firstHost}));

/**
 * Plays a plan.
 * @param plan - Plan to play.
 * @param options - API of the hosts, and what to record.
 */
export async function play(plan: Plan, options: PlayOptions): Promise<PlayedRun> {
	const {coverage} = options;
	const world = createVirtualWorld();
	const random = createRandom(plan.seed);
	const history = createHistory();
	const hostNames = Array.from({length: hostCount}, (_, index) => `c${index}:1`);
	const entryNames = Array.from({length: entryCount}, (_, index) => `e${index}`);
	const processes = new Map<string, VirtualProcess>();
	const hosts = new Map<string, ModelHost>();
	const entries = new Map<string, ModelEntry>();
	const disks = new Map<string, MemoryDisk>();
	const endListeners = new Map<string, Array<() => void>>();
	const failures: Error[] = [];
	const getProcess = (name: string): VirtualProcess | undefined => processes.get(name);
	const network = createNetwork({
		world, random, coverage, getProcess,
	});
	const links = createLinks(world, network);

	/** Writes an event into the trace, if there is one. */
	const trace = options.trace === undefined
		? undefined
		: (text: string): void => {
			options.trace?.(`${String(world.getTime()).padStart(6)} ${text}`);
		};

	function createTracingLog(name: string): Log {
		const write = (fields: Readonly<Record<string, unknown>>, message: string): void => {
			trace?.(`${name} ${message} ${JSON.stringify(fields)}`);
		};

		return {info: write, warn: write, error: write};
	}

	function addProcess(name: string): VirtualProcess {
		const process: VirtualProcess = {name, isFrozen: false, isEnded: false};
		processes.set(name, process);
		return process;
	}

	function startHost(name: string): void {
		const process = addProcess(name);
		world.runAs(process, () => {
			hosts.set(name, startModelHost({
				process, hostNames, links, store: openMemoryStore(disks.get(name) ?? emptyDisk), random, log: createTracingLog(name), createApi: options.createApi, onFailure(error) {
					failures.push(error);
				},
			}));
		});
	}

	function startEntry(name: string): void {
		const process = addProcess(name);
		world.runAs(process, () => {
			entries.set(name, startModelEntry({
				process, hostNames, links, takeMoment: history.takeMoment, onGrant(grant, startedAt) {
					trace?.(`${name} is told ${JSON.stringify({zonesOut: grant.zonesOut, version: grant.version, epoch: grant.epoch})}`);
					history.recordZones(name, zones, grant.zonesOut, startedAt);
					history.recordVersion(name, grant.version, startedAt);
				},
			}));
		});
	}

	function start(name: string): void {
		if (hostNames.includes(name)) {
			startHost(name);
		} else {
			startEntry(name);
		}
	}

	function stop(name: string, writtenActions: number): void {
		const process = processes.get(name);
		if (process === undefined) {
			return;
		}

		const host = hosts.get(name);
		if (host !== undefined) {
			disks.set(name, host.store.getContentsAfterCrash(writtenActions));
		}

		world.end(process);
		processes.delete(name);
		hosts.delete(name);
		entries.delete(name);
		links.close(name);
		for (const listener of endListeners.get(name) ?? []) {
			listener();
		}

		endListeners.delete(name);
	}

	async function runOperators(operators: ReadonlyArray<readonly OperatorStep[]>, until: number): Promise<void> {
		let running = operators.length;
		for (const [index, steps] of operators.entries()) {
			const process = processes.get(`o${index}`)!;
			const operator: OperatorOptions = {
				name: process.name,
				steps,
				hostNames,
				network,
				history,
				trace,
				renderConfiguration: options.renderConfiguration,
				getHost: name => hosts.get(name),
				onceEnded(name, run) {
					endListeners.set(name, [...endListeners.get(name) ?? [], () => {
						world.schedule(1, {process, run});
					}]);
				},
			};
			world.runAs(process, () => {
				void runOperator(operator).then(() => {
					running--;
				});
			});
		}

		while (running > 0 && world.getTime() < until) {
			await world.runUntil(world.getTime() + 100);
		}
	}

	/** Waits until all hosts have applied the same commands. */
	async function catchUp(): Promise<void> {
		const until = world.getTime() + maximumCatchUpMilliseconds;
		const getIndexes = (): ReadonlySet<number> => new Set([...hosts.values()].map(({driver}) => driver.replica.getCommitIndex()));
		while (getIndexes().size > 1 && world.getTime() < until) {
			await world.runUntil(world.getTime() + catchUpCheckMilliseconds);
		}
	}

	setActiveWorld(world);
	try {
		for (const name of [...hostNames, ...entryNames]) {
			start(name);
		}

		const operatorNames = plan.operators.map((_, index) => addProcess(`o${index}`).name);
		await world.runUntil(startMilliseconds);
		scheduleFaults({
			world, network, hostNames, entryNames, operatorNames, getProcess, stop, start, trace, transfer(from, to) {
				const host = hosts.get(from);
				if (host !== undefined) {
					world.runAs(processes.get(from)!, () => {
						host.driver.transfer(getReplicaId(to));
					});
				}
			},
		}, plan.faults);
		await runOperators(plan.operators, world.getTime() + maximumStepsMilliseconds);
		const faultsEndAt = startMilliseconds + Math.max(0, ...plan.faults.map(({at, duration}) => at + duration));
		await world.runUntil(Math.max(world.getTime(), faultsEndAt) + settleMilliseconds);
		await catchUp();
		await runOperators([finalReads], world.getTime() + readMilliseconds);
		const zonesOut = hostNames.map(name => hosts.get(name)!.machine.getZonesOut());
		for (const [index, name] of hostNames.entries()) {
			history.recordZones(name, zones, zonesOut[index]!, history.takeMoment());
		}

		return {
			history, zonesOut, failures, leases: entryNames.map(name => entries.get(name)!.keeper.holder.isValid(world.getTime())),
		};
	} finally {
		setActiveWorld(undefined);
	}
}
