/** Starts the processes of a bench: control hosts, entries, groups of stand-in servers, and load generators. */
import {spawn, execFile, type ChildProcess} from 'node:child_process';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {bundleProgram} from '../scripts/bundle.js';
import {documentSchema, type EnvironmentDocument} from '../source/configuration/index.js';
import {type LoadResult} from '../source/program/load.js';
import {createCluster, type Cluster, type Member} from '../stand-in/cluster.js';
import {waitUntil} from '../stand-in/wait.js';

const loopbackAddress = '127.0.0.1';
const standInBundle = 'dist/stand-in.cjs';
const programBundle = 'dist/guavadeck.cjs';
const maximumOutputBytes = 10_000_000;
const waitTimeoutMilliseconds = 30_000;

/** Unit of the processor times in `/proc/PID/stat` (USER_HZ). */
const clockTicksPerSecond = 100;

const defaultWarmUpSeconds = 1.5;

/** A process that runs stand-in servers, a baseline server or a baseline proxy. */
export type StandInProcess = {
	readonly child: ChildProcess;
	/** Port on which stand-in servers receive commands; 0 for a baseline server or proxy. */
	readonly control: number;
	/** Ports on which the servers or the proxy receive requests. */
	readonly ports: readonly number[];
};

/** Report of a process of stand-in servers. */
export type StandInReport = {
	readonly probes: number;
	/** Number of requests that ran to the end. */
	readonly runs: number;
	readonly servers: ReadonlyArray<{
		readonly name: string;
		readonly inFlight: number;
		/** Largest number of requests in flight at once. */
		readonly largest: number;
		/** Number of requests that arrived beyond the capacity of the server while it was cold. */
		readonly overloads: number;
		readonly arrived: number;
		readonly isCold: boolean;
	}>;
};

/** Processor time and resident memory of a process. */
export type ProcessUsage = {readonly cpuSeconds: number; readonly residentMegabytes: number};

/** The running processes of a bench. */
export type TestBed = {
	readonly cluster: Cluster;
	/** Starts a process of stand-ins with command-line arguments. */
	startStandIn(arguments_: readonly string[]): Promise<StandInProcess>;
	/** Sends a command, if one is given, to the control port of a process of stand-in servers, and gets its report. */
	callStandIn(standIn: StandInProcess, command?: unknown): Promise<StandInReport>;
	/** Applies a document and waits until it is in force in every entry. Gets the wall-clock time in milliseconds at which it was accepted. */
	applyDocument(document: unknown): Promise<number>;
	/** Sends a light load until the registry contains at least `serverCount` warm servers. */
	warmUpServers(serverCount: number, path: string): Promise<void>;
	getEntryUrls(path: string): readonly string[];
	getUsage(member: Member): ProcessUsage;
	stop(): Promise<void>;
};

/** Options of a load generator. */
export type LoadOptions = {
	readonly targets: readonly string[];
	/** Rate of open-loop arrivals; ignored if there are closed-loop callers. */
	readonly requestsPerSecond?: number;
	/** Number of closed-loop callers; 0 by default. */
	readonly callers?: number;
	readonly seconds: number;
	readonly seed: number;
	readonly method?: string;
	readonly keyPrefix?: string;
	/** Time at the start in which requests are sent but not measured. */
	readonly warmUpSeconds?: number;
};

/**
 * Runs `guavadeck load` in a separate process. Uses the bundle that `startTestBed` builds.
 * @param options - Targets, rate and duration.
 */
export async function runLoadProcess(options: LoadOptions): Promise<LoadResult> {
	const stdout = await runNode([
		programBundle,
		'load',
		...options.targets,
		'--json',
		'--seconds',
		String(options.seconds),
		'--seed',
		String(options.seed),
		'--rate',
		String(options.requestsPerSecond ?? 1),
		'--callers',
		String(options.callers ?? 0),
		'--warm-up',
		String(options.warmUpSeconds ?? defaultWarmUpSeconds),
		'--method',
		options.method ?? 'GET',
		...options.keyPrefix === undefined ? [] : ['--key', options.keyPrefix],
	]);
	return JSON.parse(stdout) as LoadResult;
}

async function runNode(arguments_: readonly string[]): Promise<string> {
	return new Promise((resolve, reject) => {
		execFile(process.execPath, arguments_, {maxBuffer: maximumOutputBytes}, (error, stdout) => {
			if (error === null) {
				resolve(stdout);
			} else {
				reject(new Error(error.message, {cause: error}));
			}
		});
	});
}

/**
 * Builds the bundles, and starts control hosts and entries on loopback.
 * @param controlHostCount - Number of control hosts.
 * @param entryCount - Number of entries.
 * @param entrySettings - Further settings of every entry.
 */
export async function startTestBed(controlHostCount: number, entryCount: number, entrySettings: Readonly<Record<string, unknown>> = {}): Promise<TestBed> {
	await bundleProgram('stand-in/main.ts', standInBundle);
	const cluster = await createCluster({
		controlHosts: controlHostCount,
		entries: entryCount,
		zones: ['north', 'south', 'east'],
		termMilliseconds: 3000,
		graceMilliseconds: 300,
		entrySettings,
	});
	await Promise.all(cluster.controls.map(async member => cluster.start(member, true)));
	await Promise.all(cluster.entries.map(async member => cluster.start(member, false)));
	const standInProcesses: StandInProcess[] = [];
	let changeCount = 0;

	async function startStandIn(arguments_: readonly string[]): Promise<StandInProcess> {
		const child = spawn(process.execPath, [standInBundle, ...arguments_], {stdio: ['ignore', 'pipe', 'inherit']});
		const line = await new Promise<string>(resolve => {
			child.stdout.once('data', (chunk: Uint8Array) => {
				resolve(new TextDecoder().decode(chunk));
			});
		});
		const standInProcess: StandInProcess = {child, ...(JSON.parse(line) as {readonly control: number; readonly ports: readonly number[]})};
		standInProcesses.push(standInProcess);
		return standInProcess;
	}

	function getEntryUrls(path: string): readonly string[] {
		return cluster.entries.map(member => `http://${loopbackAddress}:${member.port}${path}`);
	}

	async function isInForceEverywhere(version: number): Promise<boolean> {
		const entryVersions = await Promise.all(cluster.entries.map(async member => fetchVersion(member)));
		return entryVersions.every(entryVersion => entryVersion >= version);
	}

	return {
		cluster,
		startStandIn,
		async callStandIn(standIn, command) {
			const response = await fetch(`http://${loopbackAddress}:${standIn.control}/`, command === undefined ? {} : {method: 'POST', body: JSON.stringify(command)});
			return await response.json() as StandInReport;
		},
		async applyDocument(document) {
			const validDocument: EnvironmentDocument = documentSchema.parse(document);
			let version: number | undefined;
			let acceptedAt = 0;
			await waitUntil('the document is accepted', waitTimeoutMilliseconds, async () => {
				const current = await cluster.callApi('GET', '/v1/environments/production');
				const base = current?.status === 200 ? (current.body as {readonly version: {readonly version: number}}).version.version : 0;
				const response = await cluster.callApi('POST', '/v1/environments/production/apply', {
					base, change: `bench-${process.pid}-${changeCount++}`, author: 'bench', document: validDocument,
				});
				const result = (response?.body as {readonly answer?: {readonly version?: number; readonly kind: string}} | undefined)?.answer;
				version = result?.kind === 'accepted' ? result.version : undefined;
				acceptedAt = Date.now();
				return version !== undefined;
			});
			await waitUntil('the document is in force in every entry', waitTimeoutMilliseconds, async () => isInForceEverywhere(version!));
			return acceptedAt;
		},
		async warmUpServers(serverCount, path) {
			await waitUntil('all servers are warm', waitTimeoutMilliseconds, async () => {
				await runLoadProcess({
					targets: getEntryUrls(path), requestsPerSecond: 200, seconds: 0.5, seed: 1,
				});
				const status = await cluster.getStatus();
				return status !== undefined && status.servers.filter(server => server.state === 'warm').length >= serverCount;
			});
		},
		getEntryUrls,
		getUsage: member => readUsage(member.child?.pid ?? 0),
		async stop() {
			for (const {child} of standInProcesses) {
				child.kill('SIGKILL');
			}

			await cluster.stop();
		},
	};
}

/** Gets the document version that an entry has in force, or 0 if it is not ready. */
async function fetchVersion(member: Member): Promise<number> {
	try {
		const response = await fetch(`http://${loopbackAddress}:${member.adminPort}/ready`);
		const body = await response.json() as {readonly version: number};
		return response.status === 200 ? body.version : 0;
	} catch {
		return 0;
	}
}

/** Reads the processor time in user and kernel mode and the resident memory of a process from `/proc`. */
function readUsage(pid: number): ProcessUsage {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	const residentKilobytes = /VmRSS:\s+(?<kilobytes>\d+)/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.kilobytes ?? '0';
	return {cpuSeconds: (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond, residentMegabytes: Number(residentKilobytes) / 1024};
}
