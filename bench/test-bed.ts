/** Processes of a bench: the system, stand-in servers and load generators, each on its own. */
import {spawn, execFile, type ChildProcess} from 'node:child_process';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {bundleProgram} from '../scripts/bundle.js';
import {documentSchema, type EnvironmentDocument} from '../source/configuration/index.js';
import {type LoadResult} from '../source/program/load.js';
import {createCluster, type Cluster, type Member} from '../stand-in/cluster.js';
import {waitUntil} from '../stand-in/wait.js';

const host = '127.0.0.1';
const standInBundle = 'dist/stand-in.cjs';
const programBundle = 'dist/guavadeck.cjs';
const maximumOutputBytes = 10_000_000;
const startLimitMilliseconds = 30_000;
const ticksPerSecond = 100;
const warmUpSeconds = 1.5;

/** A process of stand-ins. */
export type StandInProcess = {
	readonly child: ChildProcess;
	readonly control: number;
	readonly ports: readonly number[];
};

/** What a process of stand-ins reports. */
export type StandInReport = {
	readonly probes: number;
	readonly runs: number;
	readonly servers: ReadonlyArray<{readonly name: string; readonly inFlight: number; readonly largest: number; readonly overloads: number; readonly arrived: number; readonly isCold: boolean}>;
};

/** Processor time and memory of a process. */
export type ProcessUsage = {readonly cpuSeconds: number; readonly residentMegabytes: number};

/** A running bench. */
export type TestBed = {
	readonly cluster: Cluster;
	startStandIn(arguments_: readonly string[]): Promise<StandInProcess>;
	/** Sends an order to a process of stand-ins and gets its report. */
	order(standIn: StandInProcess, order?: unknown): Promise<StandInReport>;
	/** Puts a document in force in every entry, and gets the wall-clock time in milliseconds at which it was accepted. */
	apply(document: unknown): Promise<number>;
	/** Waits until the registry holds warm servers, sending a light load meanwhile. */
	warm(servers: number, path: string): Promise<void>;
	getEntryUrls(path: string): readonly string[];
	getUsage(member: Member): ProcessUsage;
	stop(): Promise<void>;
};

/** Options of a load in a process of its own. */
export type LoadOptions = {
	readonly targets: readonly string[];
	readonly rate?: number;
	readonly callers?: number;
	readonly seconds: number;
	readonly seed: number;
	readonly method?: string;
	readonly key?: string;
	/** Seconds at the start that are not counted. */
	readonly warmUp?: number;
};

/**
 * Runs a load in a process of its own.
 * @param options - Rate, length and targets.
 */
export async function runLoadProcess(options: LoadOptions): Promise<LoadResult> {
	const stdout = await execute([
		programBundle, 'load', ...options.targets, '--json', '--seconds', String(options.seconds), '--seed', String(options.seed), '--rate', String(options.rate ?? 1), '--callers', String(options.callers ?? 0), '--warm-up', String(options.warmUp ?? warmUpSeconds), '--method', options.method ?? 'GET', ...options.key === undefined ? [] : ['--key', options.key],
	]);
	return JSON.parse(stdout) as LoadResult;
}

async function execute(arguments_: readonly string[]): Promise<string> {
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
 * Starts the system.
 * @param controlHosts - Number of control hosts.
 * @param entries - Number of entries.
 * @param entrySettings - Further settings of every entry.
 */
export async function startTestBed(controlHosts: number, entries: number, entrySettings: Readonly<Record<string, unknown>> = {}): Promise<TestBed> {
	await bundleProgram('stand-in/main.ts', standInBundle);
	const cluster = await createCluster({
		controlHosts, entries, zones: ['north', 'south', 'east'], termMilliseconds: 3000, graceMilliseconds: 300, entrySettings,
	});
	await Promise.all(cluster.controls.map(async member => cluster.start(member, true)));
	await Promise.all(cluster.entries.map(async member => cluster.start(member, false)));
	const standIns: StandInProcess[] = [];
	let changes = 0;

	async function startStandIn(arguments_: readonly string[]): Promise<StandInProcess> {
		const child = spawn(process.execPath, [standInBundle, ...arguments_], {stdio: ['ignore', 'pipe', 'inherit']});
		const line = await new Promise<string>(resolve => {
			child.stdout.once('data', (chunk: Uint8Array) => {
				resolve(new TextDecoder().decode(chunk));
			});
		});
		const started: StandInProcess = {child, ...(JSON.parse(line) as {readonly control: number; readonly ports: readonly number[]})};
		standIns.push(started);
		return started;
	}

	function getEntryUrls(path: string): readonly string[] {
		return cluster.entries.map(member => `http://${host}:${member.port}${path}`);
	}

	async function isInForce(version: number): Promise<boolean> {
		const versions = await Promise.all(cluster.entries.map(async member => readVersion(member)));
		return versions.every(known => known >= version);
	}

	return {
		cluster,
		startStandIn,
		async order(standIn, order) {
			const response = await fetch(`http://${host}:${standIn.control}/`, order === undefined ? {} : {method: 'POST', body: JSON.stringify(order)});
			return await response.json() as StandInReport;
		},
		async apply(document) {
			const checked: EnvironmentDocument = documentSchema.parse(document);
			let version: number | undefined;
			let acceptedAt = 0;
			await waitUntil('a document is accepted', startLimitMilliseconds, async () => {
				const current = await cluster.callApi('GET', '/v1/environments/production');
				const base = current?.status === 200 ? (current.body as {readonly version: {readonly version: number}}).version.version : 0;
				const answer = await cluster.callApi('POST', '/v1/environments/production/apply', {
					base, change: `bench-${process.pid}-${changes++}`, author: 'bench', document: checked,
				});
				const outcome = (answer?.body as {readonly answer?: {readonly version?: number; readonly kind: string}} | undefined)?.answer;
				version = outcome?.kind === 'accepted' ? outcome.version : undefined;
				acceptedAt = Date.now();
				return version !== undefined;
			});
			await waitUntil('it is in force', startLimitMilliseconds, async () => isInForce(version!));
			return acceptedAt;
		},
		async warm(servers, path) {
			await waitUntil('all servers are warm', startLimitMilliseconds, async () => {
				await runLoadProcess({
					targets: getEntryUrls(path), rate: 200, seconds: 0.5, seed: 1,
				});
				const status = await cluster.getStatus();
				return status !== undefined && status.servers.filter(server => server.state === 'warm').length >= servers;
			});
		},
		getEntryUrls,
		getUsage: member => readUsage(member.child?.pid ?? 0),
		async stop() {
			for (const {child} of standIns) {
				child.kill('SIGKILL');
			}

			await cluster.stop();
		},
	};
}

async function readVersion(member: Member): Promise<number> {
	try {
		const response = await fetch(`http://${host}:${member.adminPort}/ready`);
		const body = await response.json() as {readonly version: number};
		return response.status === 200 ? body.version : 0;
	} catch {
		return 0;
	}
}

/** Reads processor time and memory from the proc file system. */
function readUsage(pid: number): ProcessUsage {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	const resident = /VmRSS:\s+(?<kilobytes>\d+)/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.kilobytes ?? '0';
	return {cpuSeconds: (Number(fields[11]) + Number(fields[12])) / ticksPerSecond, residentMegabytes: Number(resident) / 1024};
}
