/** Runs the statements of a scenario against real processes and checks the history. */
import {Agent} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	documentSchema, withZone, type EnvironmentDocument,
} from '../source/configuration/index.js';
import {crashHeader, type RequestRecord} from '../stand-in/index.js';
import {createCluster, type Cluster} from '../stand-in/cluster.js';
import {waitUntil} from '../stand-in/wait.js';
import {sendOnce, startStream, type Stream} from './caller.js';
import {
	checkers, type Change, type Departure, type History, type Reading, type Sending, type Violation,
} from './history.js';
import {createOperators} from './operators.js';
import {getBehaviour, getServiceShape, type ServiceShape} from './options.js';
import {createProcesses, startLimitMilliseconds} from './processes.js';
import {createReadiness} from './readiness.js';
import {createServers} from './servers.js';
import {type Statement} from './statement.js';

const answeringMilliseconds = 300;
const deadlineMilliseconds = 5000;

/** What a scenario came to. */
export type Outcome = {
	readonly seed: number;
	readonly violations: readonly Violation[];
	readonly sendings: number;
	readonly answered: number;
	readonly runs: number;
	/** Sendings that were not answered, by what they were told. */
	readonly reasons: Readonly<Record<string, number>>;
};

/**
 * Runs a scenario.
 * @param statements - Parsed statements.
 * @param seedOverride - Seed that replaces the scenario's own.
 */
export async function runScenario(statements: readonly Statement[], seedOverride?: number): Promise<Outcome> {
	const sendings: Sending[] = [];
	const runs: RequestRecord[] = [];
	const changes: Change[] = [];
	const readings: Reading[] = [];
	const departures: Departure[] = [];
	const violations: Violation[] = [];
	const services: ServiceShape[] = [];
	const streams: Stream[] = [];
	let seed = seedOverride ?? 1;
	let controlHosts = 3;
	let entries = 3;
	let zones: readonly string[] = ['north', 'south', 'east'];
	let termMilliseconds = 3000;
	let cluster: Cluster | undefined;
	let nextStream = 1;

	const operators = createOperators({
		getCluster, createDocument, getSeed: () => seed, record(change) {
			changes.push(change);
		},
	});

	const readiness = createReadiness(reading => {
		readings.push(reading);
	});

	const servers = createServers({
		getCluster,
		recordRun(run) {
			runs.push(run);
		},
		recordDeparture(departure) {
			departures.push(departure);
		},
	});

	const processes = createProcesses({
		getCluster,
		isReady: readiness.has,
		ended: readiness.forget,
		violate(violation) {
			violations.push(violation);
		},
	});

	function getCluster(): Cluster {
		if (cluster === undefined) {
			throw new Error('the scenario uses the system before "start"');
		}

		return cluster;
	}

	function areEntriesReady(): boolean {
		return readiness.getAll().length === entries;
	}

	function createDocument(): EnvironmentDocument {
		return documentSchema.parse({
			zones: zones.map(name => ({name})),
			services: services.map(service => ({
				name: service.name, path: `/${service.name}`, idempotentMethods: ['GET', 'HEAD'], deadlineMilliseconds, easing: {initialSlots: 1, growthPerSuccess: service.easingGrowth, ceilingMilliseconds: 10_000},
			})),
			measuring: {probesPerSecondPerServer: 1, probesPerSecond: 1000},
		});
	}

	async function start(): Promise<void> {
		cluster = await createCluster({
			controlHosts, entries, zones, termMilliseconds, graceMilliseconds: 600, entrySettings: {},
		});
		await Promise.all(cluster.controls.map(async member => getCluster().start(member, true)));
		await Promise.all(cluster.entries.map(async member => getCluster().start(member, false)));
		readiness.start(cluster);
		await operators.change(() => createDocument(), 'first');
		await servers.start(services, zones, seed);
		await waitUntil('every entry is ready and knows every server', startLimitMilliseconds, async () => areEntriesReady() && readiness.getAll().every(entry => entry.servers === servers.getCount()));
	}

	async function changeZone(action: 'out' | 'in', zone: string): Promise<void> {
		await operators.change(document => withZone(document, zone, action === 'in'), `zone-${zone}-${action}-${Date.now()}`);
		const now = Date.now();
		if (action === 'out') {
			departures.push({
				zone, server: undefined, acceptedAt: now, returnedAt: Number.POSITIVE_INFINITY,
			});
			return;
		}

		for (const [index, departure] of departures.entries()) {
			if (departure.zone === zone) {
				departures[index] = {...departure, returnedAt: Math.min(departure.returnedAt, now)};
			}
		}
	}

	/** One caller sends a request that crashes its server, again and again through other entries. */
	async function resendCrashing(service: string, times: number): Promise<void> {
		const agent = new Agent();
		for (let number = 0; number < times; number++) {
			const ready = readiness.getAll();
			const entry = ready[number % ready.length];
			if (entry !== undefined) {
				await sendOnce({
					agent, entry, service: `${service}/crash`, token: 'crash', key: undefined, sendId: `crash/${number}`, headers: {[crashHeader]: '1'},
				});
			}
		}

		const crashed = runs.filter(run => run.outcome === 'crashed').length;
		if (crashed > 2) {
			violations.push(`a request crashed ${crashed} servers`);
		}
	}

	function check(names: readonly string[]): void {
		const history: History = {
			sendings, runs, changes, readings, departures, departureBound: 5000, probesPerSecond: 1, inForceBound: 5000,
		};
		for (const name of names) {
			const checker = checkers[name];
			if (checker === undefined) {
				throw new Error(`there is no check ${name}`);
			}

			violations.push(...checker(history).slice(0, 5).map(violation => `${name}: ${violation}`));
		}
	}

	async function run(statement: Statement): Promise<void> {
		switch (statement.kind) {
			case 'seed': {
				seed = seedOverride ?? statement.number;
				return;
			}

			case 'control': {
				controlHosts = statement.number;
				return;
			}

			case 'entries': {
				entries = statement.number;
				return;
			}

			case 'zones': {
				({zones} = statement);
				return;
			}

			case 'term': {
				termMilliseconds = statement.milliseconds;
				return;
			}

			case 'service': {
				services.push(getServiceShape(statement.name, statement.options));
				return;
			}

			case 'start': {
				await start();
				return;
			}

			case 'load': {
				const prefix = `${statement.service}-${nextStream++}`;
				streams.push(startStream({
					service: statement.service, rate: statement.rate, isKeyed: statement.isKeyed, seed: seed + nextStream, prefix, headers: {}, getReady: readiness.getAll, record(sending) {
						sendings.push(sending);
					},
				}));
				return;
			}

			case 'quiet': {
				await Promise.all(streams.map(async stream => stream.stop()));
				return;
			}

			case 'wait': {
				await delay(statement.milliseconds);
				return;
			}

			case 'process': {
				await processes.run(statement);
				return;
			}

			case 'cut': {
				const [member] = await processes.find(statement.from);
				getCluster().cut(member!, statement.way);
				return;
			}

			case 'heal': {
				getCluster().heal();
				return;
			}

			case 'zone': {
				await changeZone(statement.action, statement.zone);
				return;
			}

			case 'server': {
				await servers.run(statement);
				return;
			}

			case 'change': {
				servers.getOrThrow(statement.server).updateBehaviour(getBehaviour(statement.options));
				return;
			}

			case 'race': {
				await operators.race(statement.operators, statement.changes);
				return;
			}

			case 'resendCrashing': {
				await resendCrashing(statement.service, statement.times);
				return;
			}

			case 'expectReady': {
				await waitUntil('every entry is ready', statement.milliseconds, async () => areEntriesReady());
				return;
			}

			case 'expectWarm': {
				await waitUntil('every server is warm', statement.milliseconds, async () => {
					const status = await getCluster().getStatus();
					return status?.servers.every(server => server.state === 'warm') ?? false;
				});
				return;
			}

			case 'expectMembers': {
				await waitUntil(`there are ${statement.number} voters that all answer`, statement.milliseconds, async () => {
					const status = await getCluster().getStatus();
					const replicas = status?.replicas ?? [];
					const answering = replicas.filter(replica => replica.role !== 'learner' && replica.silentMilliseconds < answeringMilliseconds);
					return replicas.length === statement.number && answering.length === statement.number;
				});
				return;
			}

			case 'check': {
				check(statement.checks);
			}
		}
	}

	try {
		for (const statement of statements) {
			await runOrExplain(statement, run);
		}
	} catch (error) {
		violations.push((error as Error).message);
	}

	readiness.stop();
	await Promise.all(streams.map(async stream => stream.stop()));
	await servers.stop();
	await cluster?.stop();
	return {
		seed, violations, sendings: sendings.length, answered: sendings.filter(sending => sending.told === 'answered').length, runs: runs.length, reasons: countReasons(sendings),
	};
}

function countReasons(sendings: readonly Sending[]): Readonly<Record<string, number>> {
	const counts: Record<string, number> = {};
	for (const {told, reason} of sendings) {
		if (told !== 'answered') {
			const name = `${told} ${reason}`;
			counts[name] = (counts[name] ?? 0) + 1;
		}
	}

	return counts;
}

async function runOrExplain(statement: Statement, run: (statement: Statement) => Promise<void>): Promise<void> {
	try {
		await run(statement);
	} catch (error) {
		throw new Error(`line ${statement.line}: ${(error as Error).message}`, {cause: error});
	}
}
