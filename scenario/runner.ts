/** Runs the statements of a scenario against real processes and checks the recorded history for violations. */
import {Agent} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	documentSchema, withZone, type EnvironmentDocument,
} from '../source/configuration/index.js';
import {crashHeader} from '../stand-in/index.js';
import {createCluster, type Cluster} from '../stand-in/cluster.js';
import {waitUntil} from '../stand-in/wait.js';
import {sendOnce, startStream, type Stream} from './caller.js';
import {waitForMembers, waitForWarmServers} from './expectations.js';
import {stopCluster} from './kept-logs.js';
import {createOperators} from './operators.js';
import {parseBehaviour, parseServiceOptions, type ServiceDefinition} from './options.js';
import {createProcessController, startTimeoutMilliseconds} from './process-controller.js';
import {createReadinessMonitor} from './readiness-monitor.js';
import {
	checkCrashes, createRecording, getResult, recordZoneChange, runChecks, type ScenarioResult,
} from './recording.js';
import {createServerController} from './server-controller.js';
import {type Statement} from './statement.js';
import {createWithdrawals} from './withdrawals.js';

/** Deadline of the requests to every service, in milliseconds. */
const requestDeadlineMilliseconds = 5000;

/**
 * Runs a scenario.
 * @param statements - Parsed statements.
 * @param seedOverride - Seed that replaces the seed in the scenario.
 */
export async function runScenario(statements: readonly Statement[], seedOverride?: number): Promise<ScenarioResult> {
	const recording = createRecording();
	const {
		callerAttempts, requestRecords, changeAttempts, versionSamples, departures, violations,
	} = recording;
	const services: ServiceDefinition[] = [];
	const streams: Stream[] = [];
	let seed = seedOverride ?? 1;
	let controlHostCount = 3;
	let entryCount = 3;
	let zones: readonly string[] = ['north', 'south', 'east'];
	let termMilliseconds = 3000;
	let cluster: Cluster | undefined;
	let nextStreamNumber = 1;

	const operators = createOperators({
		getCluster: getClusterOrThrow, createDocument, getSeed: () => seed, record(attempt) {
			changeAttempts.push(attempt);
		},
	});

	const readinessMonitor = createReadinessMonitor(sample => {
		versionSamples.push(sample);
	});

	const serverController = createServerController({
		getCluster: getClusterOrThrow,
		recordRequest(record) {
			requestRecords.push(record);
		},
		recordDeparture(departure) {
			departures.push(departure);
		},
	});

	const withdrawals = createWithdrawals(serverController.getServers);
	const processController = createProcessController({
		getCluster: getClusterOrThrow,
		isReady: readinessMonitor.isReady,
		onExit: readinessMonitor.remove,
		recordViolation(violation) {
			violations.push(violation);
		},
	});

	function getClusterOrThrow(): Cluster {
		if (cluster === undefined) {
			throw new Error('no system is running: "start" must come before this statement');
		}

		return cluster;
	}

	function areEntriesReady(): boolean {
		return readinessMonitor.getReadyEntries().length === entryCount;
	}

	function createDocument(): EnvironmentDocument {
		return documentSchema.parse({
			zones: zones.map(name => ({name})),
			services: services.map(service => ({
				name: service.name,
				path: `/${service.name}`,
				idempotentMethods: ['GET', 'HEAD'],
				deadlineMilliseconds: requestDeadlineMilliseconds,
				easing: {initialSlots: 1, growthPerSuccess: service.easingGrowth, ceilingMilliseconds: 10_000},
			})),
			measuring: {probesPerSecondPerServer: 1, probesPerSecond: 1000},
		});
	}

	async function startSystem(): Promise<void> {
		cluster = await createCluster({
			controlHosts: controlHostCount, entries: entryCount, zones, termMilliseconds, graceMilliseconds: 600, entrySettings: {},
		});
		await Promise.all(cluster.controls.map(async member => getClusterOrThrow().start(member, true)));
		await Promise.all(cluster.entries.map(async member => getClusterOrThrow().start(member, false)));
		readinessMonitor.start(cluster);
		await operators.applyChange(() => createDocument(), 'first');
		await serverController.start(services, zones, seed);
		await waitUntil('every entry is ready and lists every server', startTimeoutMilliseconds, async () =>
			areEntriesReady() && readinessMonitor.getReadyEntries().every(entry => entry.servers === serverController.getCount()));
	}

	/** Takes a zone out of service or puts it back, and records its departure or return. */
	async function changeZone(action: 'out' | 'in', zone: string): Promise<void> {
		const change = await operators.applyChange(document => withZone(document, zone, action === 'in'), `zone-${zone}-${action}-${Date.now()}`);
		recordZoneChange(departures, action, zone, change);
	}

	/** Repeatedly sends a request that crashes the server on which it runs, through each ready entry in turn. */
	async function resendCrashingRequest(service: string, times: number): Promise<void> {
		const agent = new Agent();
		for (let attemptNumber = 0; attemptNumber < times; attemptNumber++) {
			const readyEntries = readinessMonitor.getReadyEntries();
			const entry = readyEntries[attemptNumber % readyEntries.length];
			if (entry !== undefined) {
				await sendOnce({
					agent, entry, service: `${service}/crash`, token: 'crash', key: undefined, sendId: `crash/${attemptNumber}`, headers: {[crashHeader]: '1'},
				});
			}
		}

		checkCrashes(recording);
	}

	async function runStatement(statement: Statement): Promise<void> {
		switch (statement.kind) {
			case 'seed': {
				seed = seedOverride ?? statement.number;
				return;
			}

			case 'control': {
				controlHostCount = statement.number;
				return;
			}

			case 'entries': {
				entryCount = statement.number;
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
				services.push(parseServiceOptions(statement.name, statement.options));
				return;
			}

			case 'start': {
				await startSystem();
				return;
			}

			case 'load': {
				const prefix = `${statement.service}-${nextStreamNumber++}`;
				streams.push(startStream({
					service: statement.service, rate: statement.rate, isKeyed: statement.isKeyed, seed: seed + nextStreamNumber, prefix, headers: {}, getReadyEntries: readinessMonitor.getReadyEntries,
					record(attempt) {
						callerAttempts.push(attempt);
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
				await processController.run(statement);
				return;
			}

			case 'cut': {
				const [member] = await processController.findMembers(statement.from);
				getClusterOrThrow().partition(member!, statement.way);
				return;
			}

			case 'heal': {
				getClusterOrThrow().heal();
				return;
			}

			case 'zone': {
				await changeZone(statement.action, statement.zone);
				return;
			}

			case 'server': {
				await serverController.run(statement);
				return;
			}

			case 'withdraw': {
				await withdrawals.withdraw(statement);
				return;
			}

			case 'pause': {
				await withdrawals.pause(statement);
				return;
			}

			case 'change': {
				serverController.getOrThrow(statement.server).updateBehaviour(parseBehaviour(statement.options));
				return;
			}

			case 'race': {
				await operators.race(statement.operators, statement.changes);
				return;
			}

			case 'resendCrashing': {
				await resendCrashingRequest(statement.service, statement.times);
				return;
			}

			case 'expectReady': {
				await waitUntil('every entry is ready', statement.milliseconds, async () => areEntriesReady());
				return;
			}

			case 'expectWarm': {
				await waitForWarmServers(getClusterOrThrow(), statement.milliseconds);
				return;
			}

			case 'expectMembers': {
				await waitForMembers({cluster: getClusterOrThrow(), number: statement.number, milliseconds: statement.milliseconds});
				return;
			}

			case 'check': {
				runChecks(recording, statement.checks);
			}
		}
	}

	try {
		for (const statement of statements) {
			recording.statementStarts.push({line: statement.line, at: Date.now()});
			await runWithLineNumber(statement, runStatement);
		}
	} catch (error) {
		violations.push((error as Error).message);
	}

	readinessMonitor.stop();
	await Promise.all(streams.map(async stream => stream.stop()));
	await serverController.stop();
	const keptFolder = cluster === undefined ? undefined : await stopCluster(cluster, recording);
	return getResult(recording, seed, keptFolder);
}

/** Runs a statement, and adds its line number to the message of an error that it throws. */
async function runWithLineNumber(statement: Statement, runStatement: (statement: Statement) => Promise<void>): Promise<void> {
	try {
		await runStatement(statement);
	} catch (error) {
		throw new Error(`line ${statement.line}: ${(error as Error).message}`, {cause: error});
	}
}
