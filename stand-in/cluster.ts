/** The processes of a scenario on loopback, with links that can be cut. */
import {spawn, type ChildProcess} from 'node:child_process';
import {
	mkdirSync, mkdtempSync, rmSync, writeFileSync, createWriteStream,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {stringify} from 'smol-toml';
import {bundleProgram} from '../scripts/bundle.js';
import {type ClusterStatus} from '../source/control/index.js';
import {startCuttableLink, type Cut, type CuttableLink} from './cuttable-link.js';

const host = '127.0.0.1';
const requestMilliseconds = 2000;
const startMilliseconds = 20_000;
const stopPatienceMilliseconds = 60_000;
const bundleFile = 'dist/guavadeck.cjs';
const running = new Set<ChildProcess>();

/** Ends the processes that are left when the test itself ends early. */
function endAll(): void {
	for (const child of running) {
		child.kill('SIGKILL');
	}
}

process.once('exit', endAll);
process.once('SIGTERM', () => {
	process.exit(1);
});

/** Shape of the system under test. */
export type Shape = {
	readonly controlHosts: number;
	readonly entries: number;
	readonly zones: readonly string[];
	readonly termMilliseconds: number;
	readonly graceMilliseconds: number;
	/** Further settings of every entry. */
	readonly entrySettings: Readonly<Record<string, unknown>>;
};

/** One process of the system. */
export type Member = {
	readonly name: string;
	readonly kind: 'control' | 'entry';
	/** Port of the operators' interface, or the admin port of an entry. */
	readonly adminPort: number;
	/** Port for callers, or for links of a control host. */
	readonly port: number;
	incarnation: number;
	isReady: boolean;
	child: ChildProcess | undefined;
};

/** A running system. */
export type Cluster = {
	readonly controls: readonly Member[];
	readonly entries: readonly Member[];
	start(member: Member, isFounding: boolean): Promise<void>;
	/** Signals a process. */
	signal(member: Member, signal: NodeJS.Signals): void;
	/** Waits until a process has ended and returns its exit code. */
	ended(member: Member): Promise<number | undefined>;
	loseData(member: Member): void;
	/** Cuts a process off from every control host. */
	cut(member: Member, cut: Cut): void;
	heal(): void;
	/** Calls the operators' interface of any control host that answers. */
	call(method: 'GET' | 'POST', resource: string, body?: unknown): Promise<{readonly status: number; readonly body: unknown} | undefined>;
	getStatus(): Promise<ClusterStatus | undefined>;
	stop(): Promise<void>;
	readonly folder: string;
};

/** Bundles the program, so that processes start fast. */
export async function buildBundle(): Promise<string> {
	await bundleProgram('source/program/main.ts', bundleFile);
	return bundleFile;
}

/** Ports below the range from which outgoing connections take theirs, so that a process that restarts finds its port free. */
const firstPort = 12_000;
const lastPort = 32_000;
let nextPort = firstPort + (process.pid * 37 % (lastPort - firstPort));

async function isFree(port: number): Promise<boolean> {
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

/** Gets a port that is free and that this process has not handed out before. */
export async function getFreePort(): Promise<number> {
	for (;;) {
		const port = nextPort++;
		nextPort = nextPort > lastPort ? firstPort : nextPort;
		if (await isFree(port)) {
			return port;
		}
	}
}

/**
 * Creates the settings and links of a system; no process runs yet.
 * @param shape - Numbers of processes, zones and times.
 */
export async function createCluster(shape: Shape): Promise<Cluster> {
	const bundle = await buildBundle();
	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-scenario-'));
	const links = new Map<string, CuttableLink>();
	const controls = await createMembers('control', shape.controlHosts);
	const entries = await createMembers('entry', shape.entries);

	async function createMembers(kind: Member['kind'], count: number): Promise<Member[]> {
		const members: Member[] = [];
		for (let number = 1; number <= count; number++) {
			members.push({
				name: `${kind}-${number}`, kind, adminPort: await getFreePort(), port: await getFreePort(), incarnation: 0, isReady: false, child: undefined,
			});
		}

		return members;
	}

	for (const member of [...controls, ...entries]) {
		await writeSettings(member);
	}

	async function getControlAddresses(member: Member): Promise<unknown> {
		const addresses: unknown[] = [];
		for (const control of controls) {
			if (control === member) {
				addresses.push({name: control.name, host, port: control.port});
				continue;
			}

			const link = await startCuttableLink(host, control.port);
			links.set(`${member.name} ${control.name}`, link);
			addresses.push({name: control.name, host, port: link.port});
		}

		return addresses;
	}

	async function writeSettings(member: Member): Promise<void> {
		const number = Number(member.name.split('-')[1]);
		const common = {
			name: member.name,
			zone: shape.zones[(number - 1) % shape.zones.length]!,
			control: await getControlAddresses(member),
			lease: {termMilliseconds: shape.termMilliseconds, ...(member.kind === 'entry' ? {renewMilliseconds: Math.floor(shape.termMilliseconds / 6)} : {})},
		};
		const settings = member.kind === 'control'
			? {
				...common, dataFolder: getDataFolder(member), links: {host, port: member.port}, api: {host, port: member.adminPort}, election: {timeoutMilliseconds: 250, heartbeatMilliseconds: 50}, snapshotEvery: 500, stopPatienceMilliseconds,
			}
			: {
				...common, callers: {host, port: member.port}, admin: {host, port: member.adminPort}, peers: {host, port: 0}, graceMilliseconds: shape.graceMilliseconds, ...shape.entrySettings,
			};
		writeFileSync(getSettingsFile(member), stringify(settings));
	}

	function getSettingsFile(member: Member): string {
		return path.join(folder, `${member.name}.toml`);
	}

	function getDataFolder(member: Member): string {
		return path.join(folder, `${member.name}-data`);
	}

	async function call(method: 'GET' | 'POST', resource: string, body?: unknown): Promise<{readonly status: number; readonly body: unknown} | undefined> {
		for (const control of controls.toSorted(() => 0.5 - Math.random())) {
			try {
				const response = await fetch(`http://${host}:${control.adminPort}${resource}`, {
					method, signal: AbortSignal.timeout(requestMilliseconds), ...(body === undefined ? {} : {body: JSON.stringify(body)}),
				});
				const answer = await response.json();
				if (response.status !== 503) {
					return {status: response.status, body: answer};
				}
			} catch {
				// The next control host is asked.
			}
		}

		return undefined;
	}

	async function ended(member: Member): Promise<number | undefined> {
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
			const arguments_ = [bundle, member.kind, '--settings', getSettingsFile(member), ...isFounding ? ['--found'] : []];
			const child = spawn(process.execPath, arguments_, {stdio: ['ignore', 'pipe', 'pipe']});
			child.stderr.pipe(createWriteStream(path.join(folder, `${member.name}.log`), {flags: 'a'}));
			member.child = child;
			running.add(child);
			child.once('exit', () => {
				running.delete(child);
			});
			await new Promise<void>((resolve, reject) => {
				const timer = setTimeout(() => {
					reject(new Error(`${member.name} was not ready after ${startMilliseconds} ms; see ${folder}/${member.name}.log`));
				}, startMilliseconds);
				child.stdout.once('data', () => {
					clearTimeout(timer);
					resolve();
				});
				child.once('exit', code => {
					clearTimeout(timer);
					reject(new Error(`${member.name} ended with code ${code ?? 'none'}; see ${folder}/${member.name}.log`));
				});
			});
		},
		signal(member, signal) {
			member.child?.kill(signal);
		},
		ended,
		loseData(member) {
			rmSync(getDataFolder(member), {recursive: true, force: true});
		},
		cut(member, cut) {
			for (const [key, link] of links) {
				const [from, to] = key.split(' ');
				if (from === member.name) {
					link.cut(cut);
				} else if (to === member.name) {
					link.cut(invert(cut));
				}
			}
		},
		heal() {
			for (const link of links.values()) {
				link.cut('none');
			}
		},
		call,
		async getStatus() {
			const answer = await call('GET', '/v1/status');
			return answer?.status === 200 ? (answer.body as {readonly status: ClusterStatus}).status : undefined;
		},
		async stop() {
			const members = [...controls, ...entries];
			for (const member of members) {
				member.child?.kill('SIGCONT');
				member.child?.kill('SIGKILL');
			}

			await Promise.all(members.map(async member => ended(member)));
			for (const link of links.values()) {
				link.close();
			}

			rmSync(folder, {recursive: true, force: true});
		},
	};
}

/**
 * Checks whether a process of the system runs.
 * @param member - Process to check.
 */
export function isRunning(member: Member): boolean {
	return member.child?.exitCode === null && member.child.signalCode === null;
}

function invert(cut: Cut): Cut {
	switch (cut) {
		case 'to': {
			return 'from';
		}

		case 'from': {
			return 'to';
		}

		case 'both':
		case 'none': {
			return cut;
		}
	}
}
