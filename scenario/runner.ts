/** Runs the statements of a scenario against real processes and checks the history. */
import {Agent} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	documentSchema, withZone, type EnvironmentDocument,
} from '../source/configuration/index.js';
import {
	crashHeader, startStandIn, type Run, type StandIn,
} from '../stand-in/index.js';
import {
	createCluster, getFreePort, isRunning, type Cluster, type Member,
} from '../stand-in/cluster.js';
import {waitUntil} from '../stand-in/wait.js';
import {
	sendOnce, startStream, type EntryAddress, type Stream,
} from './caller.js';
import {
	checkers, type Change, type Departure, type History, type Reading, type Sending, type Violation,
} from './history.js';
import {createOperators} from './operators.js';
import {getBehaviour, getServiceShape, type ServiceShape} from './options.js';
import {type Statement, type Target} from './statement.js';

const readinessMilliseconds = 100;
const startLimitMilliseconds = 20_000;
const servedConnections = 250;
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

/** An entry that serves, and the number of servers that it knows. */
type ReadyEntry = EntryAddress & {readonly servers: number};

/**
 * Runs a scenario.
 * @param statements - Parsed statements.
 * @param seedOverride - Seed that replaces the scenario's own.
 */
export async function runScenario(statements: readonly Statement[], seedOverride?: number): Promise<Outcome> {
	const sendings: Sending[] = [];
	const runs: Run[] = [];
	const changes: Change[] = [];
	const readings: Reading[] = [];
	const departures: Departure[] = [];
	const violations: Violation[] = [];
	const services: ServiceShape[] = [];
	const servers = new Map<string, StandIn>();
	const streams: Stream[] = [];
	const ready = new Map<string, ReadyEntry>();
	let seed = seedOverride ?? 1;
	let controlHosts = 3;
	let entries = 3;
	let zones: readonly string[] = ['north', 'south', 'east'];
	let termMilliseconds = 3000;
	let cluster: Cluster | undefined;
	let watch: NodeJS.Timeout | undefined;
	let nextStream = 1;

	const operators = createOperators({
		getCluster, createDocument, getSeed: () => seed, record(change) {
			changes.push(change);
		},
	});

	function getCluster(): Cluster {
		if (cluster === undefined) {
			throw new Error('the scenario uses the system before "start"');
		}

		return cluster;
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
		watch = setInterval(watchEntries, readinessMilliseconds);
		await operators.change(() => createDocument(), 'first');
		await startServers();
		await waitUntil('every entry is ready and knows every server', startLimitMilliseconds, async () => ready.size === entries && [...ready.values()].every(entry => entry.servers === servers.size));
	}

	async function startServers(): Promise<void> {
		const announceTo = [...getCluster().entries, ...getCluster().controls].map(member => `http://127.0.0.1:${member.adminPort}`);
		for (const service of services) {
			for (let number = 1; number <= service.servers; number++) {
				const name = `${service.name}-${number}`;
				servers.set(name, await startStandIn({
					service: service.name,
					name,
					zone: zones[(number - 1) % zones.length]!,
					host: '127.0.0.1',
					port: await getFreePort(),
					connections: servedConnections,
					behaviour: {isCold: true, requestsPerColdSlot: 1 / service.easingGrowth, ...service.behaviour},
					announceTo,
					seed: seed + number,
					record(run) {
						runs.push(run);
					},
				}));
			}
		}
	}

	function watchEntries(): void {
		for (const member of getCluster().entries) {
			void readEntry(member);
		}
	}

	async function readEntry(member: Member): Promise<void> {
		try {
			const response = await fetch(`http://127.0.0.1:${member.adminPort}/ready`, {signal: AbortSignal.timeout(readinessMilliseconds * 5)});
			const {version, servers: known} = await response.json() as {readonly version: number; readonly servers: number};
			if (response.status === 200) {
				ready.set(member.name, {name: member.name, port: member.port, servers: known});
				readings.push({
					entry: member.name, at: Date.now(), version, incarnation: member.incarnation,
				});
			} else {
				ready.delete(member.name);
			}
		} catch {
			ready.delete(member.name);
		}
	}

	async function findTargets(target: Target): Promise<readonly Member[]> {
		const {controls, entries: all} = getCluster();
		switch (target.kind) {
			case 'allControl': {
				return controls;
			}

			case 'allEntries': {
				return all;
			}

			case 'control': {
				return [controls[target.number - 1]!];
			}

			case 'entry': {
				return [all[target.number - 1]!];
			}

			case 'leader': {
				let found: Member | undefined;
				await waitUntil('there is a leader', startLimitMilliseconds, async () => {
					const status = await getCluster().getStatus();
					found = controls.find(member => member.name === status?.leader);
					return found !== undefined;
				});
				return [found!];
			}
		}
	}

	async function runOnProcess(statement: Extract<Statement, {readonly kind: 'process'}>, member: Member): Promise<void> {
		const running = getCluster();
		switch (statement.verb) {
			case 'kill': {
				running.signal(member, 'SIGKILL');
				await running.ended(member);
				ready.delete(member.name);
				return;
			}

			case 'freeze': {
				running.signal(member, 'SIGSTOP');
				return;
			}

			case 'thaw': {
				running.signal(member, 'SIGCONT');
				return;
			}

			case 'lose': {
				running.signal(member, 'SIGKILL');
				await running.ended(member);
				running.loseData(member);
				return;
			}

			case 'restart': {
				if (running.controls.includes(member) || running.entries.includes(member)) {
					await restart(member, statement.downMilliseconds);
				}

				return;
			}

			case 'stop': {
				await stopGracefully(member);
			}
		}
	}

	async function stopGracefully(member: Member): Promise<void> {
		getCluster().signal(member, 'SIGTERM');
		const code = await getCluster().ended(member);
		ready.delete(member.name);
		if (code !== 0) {
			violations.push(`${member.name} ended a graceful stop with code ${code ?? 'none'}`);
		}
	}

	/** Starts a process again; one that still runs is stopped gracefully first. */
	async function restart(member: Member, downMilliseconds: number): Promise<void> {
		if (isRunning(member)) {
			await stopGracefully(member);
		}

		await delay(downMilliseconds);

		await getCluster().start(member, false);
		if (member.kind === 'entry') {
			await waitUntil(`${member.name} is ready`, startLimitMilliseconds, async () => ready.has(member.name));
		}
	}

	async function runOnServer(statement: Extract<Statement, {readonly kind: 'server'}>): Promise<void> {
		const server = getServerOrThrow(statement.server);
		switch (statement.verb) {
			case 'leave': {
				const askedAt = Date.now();
				await server.leave();
				departures.push({
					zone: undefined, server: server.name, acceptedAt: askedAt, returnedAt: Number.POSITIVE_INFINITY,
				});
				return;
			}

			case 'crash': {
				server.crash();
				return;
			}

			case 'restart': {
				await server.restart();
				return;
			}

			case 'drain': {
				const service = server.name.replace(/-\d+$/v, '');
				await getCluster().call('POST', '/v1/servers/drain', {key: `${service}/${server.name}`});
				departures.push({
					zone: undefined, server: server.name, acceptedAt: Date.now(), returnedAt: Number.POSITIVE_INFINITY,
				});
			}
		}
	}

	function getServerOrThrow(name: string): StandIn {
		const server = servers.get(name);
		if (server === undefined) {
			throw new Error(`there is no server ${name}`);
		}

		return server;
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
			const entry = [...ready.values()][number % ready.size];
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
					service: statement.service, rate: statement.rate, isKeyed: statement.isKeyed, seed: seed + nextStream, prefix, headers: {}, getReady: () => [...ready.values()], record(sending) {
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
				const members = await findTargets(statement.target);
				// Control hosts wait for each other when they stop; entries are restarted one by one.
				const isTogether = statement.verb === 'kill' || statement.verb === 'freeze' || statement.verb === 'thaw' || (statement.verb === 'restart' && statement.target.kind === 'allControl');
				if (isTogether) {
					await Promise.all(members.map(async member => runOnProcess(statement, member)));
					return;
				}

				for (const member of members) {
					await runOnProcess(statement, member);
				}

				return;
			}

			case 'cut': {
				const [member] = await findTargets(statement.from);
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
				await runOnServer(statement);
				return;
			}

			case 'change': {
				getServerOrThrow(statement.server).change(getBehaviour(statement.options));
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
				await waitUntil('every entry is ready', statement.milliseconds, async () => ready.size === entries);
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

	clearInterval(watch);
	await Promise.all(streams.map(async stream => stream.stop()));
	await Promise.all([...servers.values()].map(async server => server.stop()));
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
