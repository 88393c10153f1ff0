/**
 * Stand-in of the users' platform: renders the deploy templates, starts and terminates control hosts
 * and entries as processes on loopback, each with its own address, and sends the requests of
 * operators and clients.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
	closeSync, copyFileSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request as startRequest} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {parse as parseToml} from 'smol-toml';
import {bundleProgram} from '../../scripts/bundle.js';
import {waitUntil} from '../wait.js';
import {callControl, readText} from './control-call.js';

const testBundleFile = 'target/guavadeck-test.cjs';
const testDeployFolder = 'deploy';
const testSubnet = 11;
const testZone = 'north';
const clientTimeoutMilliseconds = 12_000;
const defaultDeadlineMilliseconds = 2000;
const retryIntervalMilliseconds = 50;

/** Timeout of an operator's call. It also covers the restart of all control hosts after they were killed. */
const callTimeoutMilliseconds = 20_000;

/**
 * Ports of every machine: `control` for the operators' API and heartbeats, `links` for links between processes,
 * `front` for clients and `ready` for readiness checks.
 */
export type Ports = {readonly control: number; readonly links: number; readonly front: number; readonly ready: number};

/** Machine that runs one process. */
export type Machine = {
	readonly name: string;
	readonly kind: 'control' | 'entry';
	readonly host: string;
	readonly zone: string;
	child: ChildProcess | undefined;
};

/** Response that a client received; the status is 0 if no complete response arrived in time. */
export type ClientResponse = {readonly status: number; readonly body: string; readonly signature: string | undefined; readonly retryAfter: string | undefined};

/** Platform whose machines run control hosts and entries. */
export type PlatformSystem = {
	readonly controls: readonly Machine[];
	readonly entries: readonly Machine[];
	readonly ports: Ports;
	/** Starts the process of a machine; on their first start, the control hosts bootstrap the cluster. */
	start(machine: Machine, isFirstStart: boolean): void;
	/** Sends a signal to the process of a machine and waits until it has exited. */
	terminate(machine: Machine, signal: NodeJS.Signals): Promise<void>;
	/** Gets the data folder of a control host. */
	getDataFolder(machine: Machine): string;
	/** Deletes the data folder of a control host whose process has exited. */
	deleteData(machine: Machine): void;
	/** Gets the API addresses of the control hosts, as `host:port`. */
	getControlAddresses(): readonly string[];
	/** Sends an operator's call to the control hosts in turn until one responds with a status below 500. */
	callOperatorApi(method: string, path: string, body?: string): Promise<{readonly status: number; readonly text: string}>;
	/** Waits until every control host responds with the configuration. */
	waitForControls(): Promise<void>;
	/** Sends a client's request to an entry. */
	send(entry: Machine, request: {readonly id: string; readonly method?: string; readonly path: string; readonly body?: string; readonly deadlineMilliseconds?: number; readonly headers?: Readonly<Record<string, string>>}): Promise<ClientResponse>;
	/** Checks whether an entry reports itself ready. */
	isReady(entry: Machine): Promise<boolean>;
	/** Reads the log of all processes that ran on a machine. */
	readLog(machine: Machine): string;
	/** Gets the zones that are out of service according to the newest line of a control host's log that names them. */
	getZonesOut(machine: Machine): unknown;
	/** Gets the control host that leads according to the logs, or throws an error if none does. */
	getLeaderOrThrow(): Machine;
	/** Copies the logs of all machines to a folder. */
	saveLogs(targetFolder: string): void;
	/** Kills all processes and deletes their files. */
	stop(): Promise<void>;
};

/** Bundle of a program, and the folder with the templates of its settings. */
export type Program = {readonly bundleFile: string; readonly deployFolder: string};

/** Options of `createPlatformSystem`: numbers of machines, and ports. */
export type PlatformOptions = {
	readonly controls: number;
	readonly entries: number;
	readonly ports: Ports;
	/** Zones to which the machines of each kind are assigned in turn; one zone if undefined. */
	readonly zones?: readonly string[];
	/** Third number of the control hosts' addresses; that of the entries is the next one. */
	readonly subnet?: number;
	/** Program that the machines run; if undefined, it is bundled from this repository. */
	readonly program?: Program;
	/** Environment variables of the processes by the names of their machines, beside those of this process. */
	readonly environments?: ReadonlyMap<string, NodeJS.ProcessEnv>;
};

function getField(fields: Readonly<Record<string, unknown>>, name: string): unknown {
	let value: unknown = fields;
	for (const part of name.split('.')) {
		value = (value as Record<string, unknown> | undefined)?.[part];
	}

	return value;
}

/** Renders a template of the deploy folder with the given fields. A section is omitted if its field is undefined. */
function renderTemplate(template: string, fields: Readonly<Record<string, unknown>>): string {
	const sections = template.replaceAll(/\{\{#(?<name>[\w.]+)\}\}\n(?<text>[\s\S]*?)\{\{\/\k<name>\}\}\n/gv, (_match, name: string, text: string) => getField(fields, name) === undefined ? '' : text);
	return sections.replaceAll(/\{\{(?<name>[\w.]+)(?<format>\|json)?\}\}/gv, (_match, name: string, format: string | undefined) => {
		const value = getField(fields, name);
		return format === undefined ? String(value) : JSON.stringify(value);
	});
}

/** Gets the options that Node receives in the command of a role, such as the limit of its heap. */
function getNodeOptions(kind: Machine['kind'], deployFolder: string): readonly string[] {
	const {roles} = parseToml(readFileSync(path.join(deployFolder, 'system.toml'), 'utf8')) as {readonly roles: Readonly<Record<Machine['kind'], {readonly run: string}>>};
	return roles[kind].run.split(' ').filter(word => word.startsWith('--max-'));
}

async function bundleTestProgram(): Promise<Program> {
	await bundleProgram('platform/main.ts', testBundleFile);
	return {bundleFile: testBundleFile, deployFolder: testDeployFolder};
}

/**
 * Creates a platform whose processes are not started yet.
 * @param options - Numbers of machines, and ports.
 */
export async function createPlatformSystem(options: PlatformOptions): Promise<PlatformSystem> {
	const {ports} = options;
	const {bundleFile, deployFolder} = options.program ?? await bundleTestProgram();
	const zones = options.zones ?? [testZone];
	const subnet = options.subnet ?? testSubnet;
	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-platform-'));
	const createMachines = (kind: Machine['kind'], count: number, machineSubnet: number): readonly Machine[] => Array.from({length: count}, (_, index) => ({
		name: `${kind}-${index + 1}`, kind, host: `127.0.${machineSubnet}.${index + 1}`, zone: zones[index % zones.length]!, child: undefined,
	}));
	const controls = createMachines('control', options.controls, subnet);
	const entries = createMachines('entry', options.entries, subnet + 1);

	function getLogFile(machine: Machine): string {
		return path.join(folder, `${machine.name}.log`);
	}

	function getDataFolder(machine: Machine): string {
		return path.join(folder, `${machine.name}-data`);
	}

	function writeSettings(machine: Machine, isFirstStart: boolean): string {
		const file = path.join(folder, `${machine.name}.toml`);
		writeFileSync(file, renderTemplate(readFileSync(path.join(deployFolder, `${machine.kind}.toml`), 'utf8'), {
			node_name: machine.name,
			zone: machine.zone,
			ip: machine.host,
			seeds: controls.slice(0, 3).map(control => `${control.host}:${ports.control}`),
			internal_ports: [ports.links],
			bootstrap: isFirstStart,
			data_dir: getDataFolder(machine),
			listen: {control: `${machine.host}:${ports.control}`, front: `${machine.host}:${ports.front}`, ready: `${machine.host}:${ports.ready}`},
			fault_tolerance: {machines: Math.floor((options.controls - 1) / 2)},
			bounds: {
				retry_budget_ratio: 0.2, retry_budget_slack: 64, probes_per_s: 60, grace_s: 6,
			},
		}));
		return file;
	}

	async function sendHttpRequest(host: string, port: number, requestOptions: {readonly method?: string; readonly path: string; readonly headers?: Readonly<Record<string, string>>; readonly body?: string}): Promise<ClientResponse> {
		return new Promise(resolve => {
			const failedResponse = {
				status: 0, body: '', signature: undefined, retryAfter: undefined,
			};
			const request = startRequest({
				host, port, method: requestOptions.method ?? 'GET', path: requestOptions.path, headers: requestOptions.headers, agent: false, timeout: clientTimeoutMilliseconds,
			}, response => {
				const text = readText(response);
				void text.then(body => {
					resolve(body === undefined
						? failedResponse
						: {
							status: response.statusCode ?? 0, body, signature: response.headers['upstream-signature'] as string | undefined, retryAfter: response.headers['retry-after'],
						});
				});
			});
			request.once('timeout', () => {
				request.destroy();
			});
			request.once('error', () => {
				resolve(failedResponse);
			});
			request.end(requestOptions.body);
		});
	}

	async function terminate(machine: Machine, signal: NodeJS.Signals): Promise<void> {
		const {child} = machine;
		if (child?.exitCode !== null || child.signalCode !== null) {
			return;
		}

		const exited = once(child, 'exit');
		child.kill(signal);
		await exited;
	}

	function readLog(machine: Machine): string {
		return readFileSync(getLogFile(machine), 'utf8');
	}

	function isLeading(machine: Machine): boolean {
		const line = readLog(machine).split('\n').findLast(text => text.includes('role changed'));
		return line?.includes('"role":"leader"') === true;
	}

	return {
		controls,
		entries,
		ports,
		start(machine, isFirstStart) {
			const logFileDescriptor = openSync(getLogFile(machine), 'a');
			if (machine.kind === 'control') {
				mkdirSync(getDataFolder(machine), {recursive: true});
			}

			machine.child = spawn(process.execPath, [...getNodeOptions(machine.kind, deployFolder), bundleFile, machine.kind, '--settings', writeSettings(machine, isFirstStart)], {
				stdio: ['ignore', logFileDescriptor, logFileDescriptor], env: {...process.env, ...options.environments?.get(machine.name)},
			});
			closeSync(logFileDescriptor);
		},
		terminate,
		getDataFolder,
		deleteData(machine) {
			rmSync(getDataFolder(machine), {recursive: true, force: true});
		},
		getControlAddresses: () => controls.map(control => `${control.host}:${ports.control}`),
		async callOperatorApi(method, requestPath, body) {
			const until = Date.now() + callTimeoutMilliseconds;
			for (let attempt = 0; Date.now() < until; attempt++) {
				const response = await callControl(`${controls[attempt % controls.length]!.host}:${ports.control}`, method, requestPath, body);
				if (response.status > 0 && response.status < 500) {
					return response;
				}

				await delay(retryIntervalMilliseconds);
			}

			throw new Error(`no control host responded to ${method} ${requestPath} in time with a status below 500`);
		},
		async waitForControls() {
			for (const control of controls) {
				const isServing = async (): Promise<boolean> => {
					const {status} = await callControl(`${control.host}:${ports.control}`, 'GET', '/-/config');
					return status === 200;
				};

				await waitUntil(`${control.name} responds with the configuration`, callTimeoutMilliseconds, isServing);
			}
		},
		async send(entry, request) {
			return sendHttpRequest(entry.host, ports.front, {
				method: request.method, path: request.path, body: request.body, headers: {
					Host: 'shop.example', 'Request-Id': request.id, 'Deadline-Ms': String(request.deadlineMilliseconds ?? defaultDeadlineMilliseconds), ...(request.body === undefined ? {} : {'Content-Length': String(request.body.length)}), ...request.headers,
				},
			});
		},
		async isReady(entry) {
			const {status} = await sendHttpRequest(entry.host, ports.ready, {path: '/ready'});
			return status === 200;
		},
		readLog,
		getZonesOut(machine) {
			const line = readLog(machine).split('\n').findLast(text => text.includes('"zonesOut"'));
			return (JSON.parse(line ?? '{}') as {readonly zonesOut?: unknown}).zonesOut;
		},
		getLeaderOrThrow() {
			const leader = controls.find(machine => isLeading(machine));
			if (leader === undefined) {
				throw new Error('no control host leads');
			}

			return leader;
		},
		saveLogs(targetFolder) {
			mkdirSync(targetFolder, {recursive: true});
			for (const machine of [...controls, ...entries]) {
				copyFileSync(getLogFile(machine), path.join(targetFolder, `${machine.name}.log`));
			}
		},
		async stop() {
			await Promise.all([...controls, ...entries].map(async machine => terminate(machine, 'SIGKILL')));
			rmSync(folder, {recursive: true, force: true});
		},
	};
}
