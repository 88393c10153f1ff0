/** System under test: control hosts and entries as processes on loopback, connected through relays that can simulate network partitions. */
import {spawn, type ChildProcess} from 'node:child_process';
import {
	mkdirSync, mkdtempSync, renameSync, rmSync, writeFileSync, createWriteStream,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {stringify} from 'smol-toml';
import {bundleProgram} from '../scripts/bundle.js';
import {type ClusterStatus} from '../source/control/index.js';
import {startRelay, type BlockedDirection, type Relay} from './relay.js';

const host = '127.0.0.1';
const requestTimeoutMilliseconds = 2000;
const startTimeoutMilliseconds = 20_000;
const stopPatienceMilliseconds = 60_000;
const bundleFile = 'dist/guavadeck.cjs';
const runningProcesses = new Set<ChildProcess>();

/** Kills the processes that are still running when the test process exits early. */
function killRunningProcesses(): void {
	for (const child of runningProcesses) {
		child.kill('SIGKILL');
	}
}

process.once('exit', killRunningProcesses);
process.once('SIGTERM', () => {
	process.exit(1);
});

/** Options of `createCluster`. */
export type ClusterOptions = {
	readonly controlHosts: number;
	readonly entries: number;
	readonly zones: readonly string[];
	/** Term of the leases of control hosts and entries. */
	readonly termMilliseconds: number;
	/** Grace period of the entries when they stop. */
	readonly graceMilliseconds: number;
	/** Additional settings of every entry. */
	readonly entrySettings: Readonly<Record<string, unknown>>;
};

/** Process of the system: a control host or an entry. */
export type Member = {
	readonly name: string;
	readonly kind: 'control' | 'entry';
	/** Port of the operators' API of a control host, or of the admin interface of an entry. */
	readonly adminPort: number;
	/** Port for links of a control host, or for the callers of an entry. */
	readonly port: number;
	/** Number of times that the process has been started. */
	incarnation: number;
	isReady: boolean;
	child: ChildProcess | undefined;
};

/** System whose processes can be started, signalled, partitioned and stopped. */
export type Cluster = {
	readonly controls: readonly Member[];
	readonly entries: readonly Member[];
	/** Starts a process and waits until it reports that it is ready; a founding control host is started with `--found`. */
	start(member: Member, isFounding: boolean): Promise<void>;
	/** Sends a signal to a process. */
	signal(member: Member, signal: NodeJS.Signals): void;
	/** Waits until a process has exited; resolves to its exit code, or undefined if a signal ended it. */
	waitForExit(member: Member): Promise<number | undefined>;
	/** Deletes the data folder of a control host. */
	deleteData(member: Member): void;
	/** Blocks traffic between a process and every control host: `to` them, `from` them, or both. */
	partition(member: Member, direction: BlockedDirection): void;
	/** Ends all partitions. */
	heal(): void;
	/** Calls the operators' API, trying the control hosts in random order; resolves to the first response whose status is not 503, or undefined if there is none. */
	callApi(method: 'GET' | 'POST', requestPath: string, body?: unknown): Promise<{readonly status: number; readonly body: unknown} | undefined>;
	/** Gets the status that a control host reports, or undefined if none responds. */
	getStatus(): Promise<ClusterStatus | undefined>;
	/**
	 * Kills all processes, and deletes the folder of their settings, data and logs.
	 * @param keptFolder - Path to which the folder is moved instead; its parent must be on the same file system.
	 */
	stop(keptFolder?: string): Promise<void>;
	/** Folder of the settings, data and logs of all processes. */
	readonly folder: string;
};

/** Bundles the program, so that its processes start quickly, and returns the path of the bundle. */
export async function buildProgramBundle(): Promise<string> {
	await bundleProgram('source/program/main.ts', bundleFile);
	return bundleFile;
}

/** Ports below the ephemeral range, so that no outgoing connection occupies the port of a process that restarts. */
const firstPort = 12_000;
const lastPort = 32_000;
let nextPort = firstPort + (process.pid * 37 % (lastPort - firstPort));

async function isPortFree(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Gets a free port; ports are returned in turn, so that none is returned again before the range is exhausted. */
export async function getFreePort(): Promise<number> {
	for (;;) {
		const port = nextPort++;
		nextPort = nextPort > lastPort ? firstPort : nextPort;
		if (await isPortFree(port)) {
			return port;
		}
	}
}

/**
 * Creates the settings and relays of a system without starting its processes.
 * @param options - Number of processes, zones and lease settings.
 */
export async function createCluster(options: ClusterOptions): Promise<Cluster> {
	const bundlePath = await buildProgramBundle();
	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-scenario-'));
	/** Relays by the names of the connecting process and the control host, separated by a space. */
	const relays = new Map<string, Relay>();
	const controls = await createMembers('control', options.controlHosts);
	const entries = await createMembers('entry', options.entries);

	async function createMembers(kind: Member['kind'], count: number): Promise<Member[]> {
		const members: Member[] = [];
		for (let memberNumber = 1; memberNumber <= count; memberNumber++) {
			members.push({
				name: `${kind}-${memberNumber}`, kind, adminPort: await getFreePort(), port: await getFreePort(), incarnation: 0, isReady: false, child: undefined,
			});
		}

		return members;
	}

	for (const member of [...controls, ...entries]) {
		await writeSettings(member);
	}

	/** Starts a relay to each other control host, and returns the addresses for the settings of a process. */
	async function createControlAddresses(member: Member): Promise<unknown> {
		const addresses: unknown[] = [];
		for (const control of controls) {
			if (control === member) {
				addresses.push({name: control.name, host, port: control.port});
				continue;
			}

			const relay = await startRelay(host, control.port);
			relays.set(`${member.name} ${control.name}`, relay);
			addresses.push({name: control.name, host, port: relay.port});
		}

		return addresses;
	}

	async function writeSettings(member: Member): Promise<void> {
		const memberNumber = Number(member.name.split('-')[1]);
		const commonSettings = {
			name: member.name,
			zone: options.zones[(memberNumber - 1) % options.zones.length]!,
			control: await createControlAddresses(member),
			lease: {termMilliseconds: options.termMilliseconds, ...(member.kind === 'entry' ? {renewMilliseconds: Math.floor(options.termMilliseconds / 6)} : {})},
		};
		const settings = member.kind === 'control'
			? {
				...commonSettings,
				dataFolder: getDataFolder(member),
				links: {host, port: member.port},
				api: {host, port: member.adminPort},
				election: {timeoutMilliseconds: 250, heartbeatMilliseconds: 50},
				snapshotEvery: 500,
				stopPatienceMilliseconds,
			}
			: {
				...commonSettings,
				callers: {host, port: member.port},
				admin: {host, port: member.adminPort},
				peers: {host, port: 0},
				graceMilliseconds: options.graceMilliseconds,
				...options.entrySettings,
			};
		writeFileSync(getSettingsFile(member), stringify(settings));
	}

	function getSettingsFile(member: Member): string {
		return path.join(folder, `${member.name}.toml`);
	}

	function getDataFolder(member: Member): string {
		return path.join(folder, `${member.name}-data`);
	}

	async function callApi(method: 'GET' | 'POST', requestPath: string, body?: unknown): Promise<{readonly status: number; readonly body: unknown} | undefined> {
		for (const control of controls.toSorted(() => 0.5 - Math.random())) {
			try {
				const response = await fetch(`http://${host}:${control.adminPort}${requestPath}`, {
					method, signal: AbortSignal.timeout(requestTimeoutMilliseconds), ...(body === undefined ? {} : {body: JSON.stringify(body)}),
				});
				const responseBody = await response.json();
				if (response.status !== 503) {
					return {status: response.status, body: responseBody};
				}
			} catch {
				// This control host did not respond; try the next one.
			}
		}

		return undefined;
	}

	async function waitForExit(member: Member): Promise<number | undefined> {
		const {child} = member;
		if (child === undefined || !isRunning(member)) {
			return child?.exitCode ?? undefined;
		}

		return new Promise(resolve => {
			child.once('exit', code => {
				resolve(code ?? undefined);
			});
		});
	}

	return {
		controls,
		entries,
		folder,
		async start(member, isFounding) {
			mkdirSync(getDataFolder(member), {recursive: true});
			member.incarnation++;
			const arguments_ = [bundlePath, member.kind, '--settings', getSettingsFile(member), ...isFounding ? ['--found'] : []];
			const child = spawn(process.execPath, arguments_, {stdio: ['ignore', 'pipe', 'pipe']});
			const logFile = path.join(folder, `${member.name}.log`);
			child.stdout.pipe(createWriteStream(logFile, {flags: 'a'}));
			child.stderr.pipe(createWriteStream(logFile, {flags: 'a'}));
			member.child = child;
			runningProcesses.add(child);
			child.once('exit', () => {
				runningProcesses.delete(child);
			});
			await new Promise<void>((resolve, reject) => {
				const timer = setTimeout(() => {
					reject(new Error(`${member.name} was not ready after ${startTimeoutMilliseconds} ms; see ${folder}/${member.name}.log`));
				}, startTimeoutMilliseconds);
				child.stdout.once('data', () => {
					clearTimeout(timer);
					resolve();
				});
				child.once('exit', code => {
					clearTimeout(timer);
					reject(new Error(`${member.name} exited with code ${code ?? 'none'} before it was ready; see ${folder}/${member.name}.log`));
				});
			});
		},
		signal(member, signal) {
			member.child?.kill(signal);
		},
		waitForExit,
		deleteData(member) {
			rmSync(getDataFolder(member), {recursive: true, force: true});
		},
		partition(member, direction) {
			for (const [key, relay] of relays) {
				const [sourceName, controlName] = key.split(' ');
				if (sourceName === member.name) {
					relay.setBlockedDirection(direction);
				} else if (controlName === member.name) {
					relay.setBlockedDirection(reverseDirection(direction));
				}
			}
		},
		heal() {
			for (const relay of relays.values()) {
				relay.setBlockedDirection('none');
			}
		},
		callApi,
		async getStatus() {
			const response = await callApi('GET', '/v1/status');
			return response?.status === 200 ? (response.body as {readonly status: ClusterStatus}).status : undefined;
		},
		async stop(keptFolder) {
			const members = [...controls, ...entries];
			for (const member of members) {
				member.child?.kill('SIGCONT');
				member.child?.kill('SIGKILL');
			}

			await Promise.all(members.map(async member => waitForExit(member)));
			for (const relay of relays.values()) {
				relay.close();
			}

			if (keptFolder === undefined) {
				rmSync(folder, {recursive: true, force: true});
			} else {
				renameSync(folder, keptFolder);
			}
		},
	};
}

/**
 * Checks whether a process is running.
 * @param member - Process to check.
 */
export function isRunning(member: Member): boolean {
	return member.child?.exitCode === null && member.child.signalCode === null;
}

function reverseDirection(direction: BlockedDirection): BlockedDirection {
	switch (direction) {
		case 'to': {
			return 'from';
		}

		case 'from': {
			return 'to';
		}

		case 'both':
		case 'none': {
			return direction;
		}
	}
}
