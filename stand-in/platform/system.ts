/**
 * The platform as far as a test needs it: machines with addresses of their own on loopback,
 * settings that are rendered as the deploy templates say, processes that are started,
 * killed and told to stop, an operator and clients.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request as startRequest} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {bundleProgram} from '../../scripts/bundle.js';
import {callControl, readText} from './upstream.js';

const bundle = 'target/guavadeck-test.cjs';
const clientMilliseconds = 12_000;
const ordinaryDeadlineMilliseconds = 2000;
const pollMilliseconds = 50;

/** Time within which some control host answers an operator, with all of them killed just before. */
const callLimitMilliseconds = 20_000;

/** Ports that all machines share, as on the platform. */
export type Ports = {readonly control: number; readonly links: number; readonly front: number; readonly ready: number};

/** A machine with one process. */
export type Machine = {
	readonly name: string;
	readonly kind: 'control' | 'entry';
	readonly host: string;
	child: ChildProcess | undefined;
};

/** What a client got. */
export type ClientAnswer = {readonly status: number; readonly body: string; readonly signature: string | undefined; readonly retryAfter: string | undefined};

/** The platform with its machines. */
export type PlatformSystem = {
	readonly controls: readonly Machine[];
	readonly entries: readonly Machine[];
	readonly ports: Ports;
	start(machine: Machine, isFirstStart: boolean): void;
	/** Ends a process by a signal and waits until it is gone. */
	end(machine: Machine, signal: NodeJS.Signals): Promise<void>;
	/** Empties the disk of a control host whose process is gone. */
	loseDisk(machine: Machine): void;
	getControl(): readonly string[];
	/** Sends an operator's call to one control host after the other until one answers with a status below 500. */
	call(method: string, path: string, body?: string): Promise<{readonly status: number; readonly text: string}>;
	send(entry: Machine, request: {readonly id: string; readonly method?: string; readonly path: string; readonly body?: string; readonly deadlineMilliseconds?: number}): Promise<ClientAnswer>;
	isReady(entry: Machine): Promise<boolean>;
	/** Reads the log of a machine's processes. */
	readLog(machine: Machine): string;
	stop(): Promise<void>;
};

/** Shape of the system. */
export type PlatformShape = {readonly controls: number; readonly entries: number; readonly ports: Ports};

function getField(fields: Readonly<Record<string, unknown>>, name: string): unknown {
	let value: unknown = fields;
	for (const part of name.split('.')) {
		value = (value as Record<string, unknown> | undefined)?.[part];
	}

	return value;
}

/** Renders a template of the deploy folder with the fields that the platform would fill in; a section without its field is left out. */
function render(template: string, fields: Readonly<Record<string, unknown>>): string {
	const sections = template.replaceAll(/\{\{#(?<name>[\w.]+)\}\}\n(?<text>[\s\S]*?)\{\{\/\k<name>\}\}\n/gv, (_match, name: string, text: string) => getField(fields, name) === undefined ? '' : text);
	return sections.replaceAll(/\{\{(?<name>[\w.]+)(?<format>\|json)?\}\}/gv, (_match, name: string, format: string | undefined) => {
		const value = getField(fields, name);
		return format === undefined ? String(value) : JSON.stringify(value);
	});
}

/**
 * Creates machines whose processes do not run yet.
 * @param shape - Numbers of machines, and ports.
 */
export async function createPlatformSystem(shape: PlatformShape): Promise<PlatformSystem> {
	const {ports} = shape;
	await bundleProgram('platform/main.ts', bundle);
	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-platform-'));
	const createMachines = (kind: Machine['kind'], count: number, network: number): readonly Machine[] => Array.from({length: count}, (_, index) => ({
		name: `${kind}-${index + 1}`, kind, host: `127.0.${network}.${index + 1}`, child: undefined,
	}));
	const controls = createMachines('control', shape.controls, 11);
	const entries = createMachines('entry', shape.entries, 12);

	function getDataFolder(machine: Machine): string {
		return path.join(folder, `${machine.name}-data`);
	}

	function writeSettings(machine: Machine, isFirstStart: boolean): string {
		const file = path.join(folder, `${machine.name}.toml`);
		writeFileSync(file, render(readFileSync(`deploy/${machine.kind}.toml`, 'utf8'), {
			node_name: machine.name,
			zone: 'north',
			ip: machine.host,
			seeds: controls.slice(0, 3).map(control => `${control.host}:${ports.control}`),
			internal_ports: [ports.links],
			bootstrap: isFirstStart,
			data_dir: getDataFolder(machine),
			listen: {control: `${machine.host}:${ports.control}`, front: `${machine.host}:${ports.front}`, ready: `${machine.host}:${ports.ready}`},
			fault_tolerance: {machines: Math.floor((shape.controls - 1) / 2)},
			bounds: {retry_budget_ratio: 0.2, retry_budget_slack: 64, probes_per_s: 60},
		}));
		return file;
	}

	async function ask(host: string, port: number, options: {readonly method?: string; readonly path: string; readonly headers?: Readonly<Record<string, string>>; readonly body?: string}): Promise<ClientAnswer> {
		return new Promise(resolve => {
			const failed = {
				status: 0, body: '', signature: undefined, retryAfter: undefined,
			};
			const request = startRequest({
				host, port, method: options.method ?? 'GET', path: options.path, headers: options.headers, agent: false, timeout: clientMilliseconds,
			}, answer => {
				const text = readText(answer);
				void text.then(body => {
					resolve(body === undefined
						? failed
						: {
							status: answer.statusCode ?? 0, body, signature: answer.headers['upstream-signature'] as string | undefined, retryAfter: answer.headers['retry-after'],
						});
				});
			});
			request.once('timeout', () => {
				request.destroy();
			});
			request.once('error', () => {
				resolve(failed);
			});
			request.end(options.body);
		});
	}

	async function end(machine: Machine, signal: NodeJS.Signals): Promise<void> {
		const {child} = machine;
		if (child?.exitCode !== null || child.signalCode !== null) {
			return;
		}

		const ended = once(child, 'exit');
		child.kill(signal);
		await ended;
	}

	return {
		controls,
		entries,
		ports,
		start(machine, isFirstStart) {
			const log = openSync(path.join(folder, `${machine.name}.log`), 'a');
			if (machine.kind === 'control') {
				mkdirSync(getDataFolder(machine), {recursive: true});
			}

			machine.child = spawn(process.execPath, [bundle, machine.kind, '--settings', writeSettings(machine, isFirstStart)], {stdio: ['ignore', log, log]});
		},
		end,
		loseDisk(machine) {
			rmSync(getDataFolder(machine), {recursive: true, force: true});
		},
		getControl: () => controls.map(control => `${control.host}:${ports.control}`),
		async call(method, resource, body) {
			const until = Date.now() + callLimitMilliseconds;
			for (let attempt = 0; Date.now() < until; attempt++) {
				const answer = await callControl(`${controls[attempt % controls.length]!.host}:${ports.control}`, method, resource, body);
				if (answer.status > 0 && answer.status < 500) {
					return answer;
				}

				await delay(pollMilliseconds);
			}

			throw new Error(`no control host answers ${method} ${resource}`);
		},
		async send(entry, request) {
			return ask(entry.host, ports.front, {
				method: request.method, path: request.path, body: request.body, headers: {
					Host: 'shop.example', 'Request-Id': request.id, 'Deadline-Ms': String(request.deadlineMilliseconds ?? ordinaryDeadlineMilliseconds), ...(request.body === undefined ? {} : {'Content-Length': String(request.body.length)}),
				},
			});
		},
		async isReady(entry) {
			const {status} = await ask(entry.host, ports.ready, {path: '/ready'});
			return status === 200;
		},
		readLog: machine => readFileSync(path.join(folder, `${machine.name}.log`), 'utf8'),
		async stop() {
			await Promise.all([...controls, ...entries].map(async machine => end(machine, 'SIGKILL')));
			rmSync(folder, {recursive: true, force: true});
		},
	};
}
