/**
 * Test bed of an entry as a real process whose upstreams send without end. It measures what the entry holds in memory meanwhile, whether
 * it closes the connections, and whether it serves the requests of other callers.
 */
import {Buffer} from 'node:buffer';
import {readFileSync, writeFileSync} from 'node:fs';
import {connect, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {type ReceivedRequest} from '../entry-bed.js';
import {renderConfiguration} from './configuration.js';
import {renderEmptyResponse, startRawUpstream, type RawUpstream} from './raw-upstream.js';
import {createPlatformSystem, type Machine, type PlatformSystem} from './system.js';

const startLimitMilliseconds = 15_000;
const pollMilliseconds = 50;
const upstreamCount = 6;
const deadlineMilliseconds = 1500;
const plainDeadlineMilliseconds = 2000;

/** Time after the start by which the connections of all floods are closed: the deadline, and what a busy processor adds to it. */
const closeLimitMilliseconds = 10_000;

const bytesPerMegabyte = 1_000_000;
const blockBytes = 65_536;

/** Bytes that a faulty upstream sends: a beginning, and then a filler again and again. */
export type Flood = {readonly getHead: (id: string) => string; readonly filler: string};

function getHeadOf(status: string, headers = ''): Flood['getHead'] {
	return id => `HTTP/1.1 ${status}\r\nrequest-id: ${id}\r\nupstream-signature: one\r\n${headers}\r\n`;
}

const chunked = 'transfer-encoding: chunked\r\n';

/** Floods by name. */
export const floods: Readonly<Record<string, Flood>> = {
	'no-response': {getHead: () => '', filler: 'x'},
	'status-line': {getHead: () => 'HTTP/1.1 200 ', filler: 'O'},
	'header-line': {getHead: () => 'HTTP/1.1 200 OK\r\na: ', filler: 'b'},
	headers: {getHead: () => 'HTTP/1.1 200 OK\r\n', filler: 'a: bcdefgh\r\n'},
	informational: {getHead: () => '', filler: 'HTTP/1.1 102 Processing\r\n\r\n'},
	'large-informational': {getHead: () => '', filler: `HTTP/1.1 102 Processing\r\n${'a: bcdefgh\r\n'.repeat(1200)}\r\n`},
	'after-length': {getHead: getHeadOf('200 OK', 'content-length: 10\r\n'), filler: 'x'},
	'after-response': {getHead: getHeadOf('200 OK', 'content-length: 0\r\n'), filler: 'x'},
	'chunk-size': {getHead: getHeadOf('200 OK', chunked), filler: '0'},
	'chunk-extension': {getHead: id => `${getHeadOf('200 OK', chunked)(id)}1;`, filler: 'x'},
	'chunk-extensions': {getHead: getHeadOf('200 OK', chunked), filler: `1;${'x'.repeat(10_000)}\r\nx\r\n`},
	trailers: {getHead: id => `${getHeadOf('200 OK', chunked)(id)}0\r\n`, filler: 'a: bcdefgh\r\n'},
	refusal: {getHead: getHeadOf('503 Full', 'not-executed: 1\r\n'), filler: 'x'},
	'refusal-chunks': {getHead: getHeadOf('503 Full', `not-executed: 1\r\n${chunked}`), filler: '1\r\nx\r\n'},
	body: {getHead: getHeadOf('200 OK'), filler: 'x'},
	'error-body': {getHead: getHeadOf('500 Broken'), filler: 'x'},
	chunks: {getHead: getHeadOf('200 OK', chunked), filler: `400\r\n${'x'.repeat(1024)}\r\n`},
	'tiny-chunks': {getHead: getHeadOf('200 OK', chunked), filler: '1\r\nx\r\n'},
};

/** Name of uploads in chunks of one byte without end that upstreams do not read. */
export const unreadUpload = 'unread-upload';

/** Sends a filler until the connection closes. */
function sendFiller(socket: Socket, filler: string): void {
	const block = Buffer.from(filler.repeat(Math.ceil(blockBytes / filler.length)));
	function write(): void {
		while (!socket.destroyed && socket.write(block)) {
			// Writes until the connection takes no more.
		}
	}

	socket.on('drain', write);
	write();
}

function respond(request: ReceivedRequest): void {
	const {socket, headers, target} = request;
	const kind = target.split('/')[2]!;
	const flood = floods[kind];
	if (kind === unreadUpload) {
		socket.pause();
	} else if (flood === undefined) {
		socket.write(renderEmptyResponse(request));
	} else {
		socket.write(flood.getHead(headers['request-id']!));
		sendFiller(socket, flood.filler);
	}
}

/** Gets the highest resident memory of a process in megabytes since the last reset. */
function getPeakMegabytes(processId: number): number {
	const status = readFileSync(`/proc/${processId}/status`, 'utf8');
	const kilobytes = /VmHWM:\s+(?<kilobytes>\d+)/v.exec(status)?.groups?.kilobytes;
	return Number(kilobytes) * 1024 / bytesPerMegabyte;
}

function resetPeak(processId: number): void {
	writeFileSync(`/proc/${processId}/clear_refs`, '5');
}

/** Floods that callers ask for at the same time. */
export type FloodOptions = {
	/** Names of floods, or of the uploads without end. */
	readonly kinds: readonly string[];
	/** Number of callers of each kind. */
	readonly callerCount: number;
	/** Whether the callers read what they get. */
	readonly isRead: boolean;
};

/** What was seen during floods. */
export type FloodResult = {
	/** Whether the process of the entry runs on. */
	readonly isAlive: boolean;
	/** Highest resident memory of the entry. */
	readonly peakMegabytes: number;
	/** Number of floods that were not closed in time. */
	readonly openFloods: number;
	/** Status of a plain request that another caller sent meanwhile. */
	readonly plainStatus: number;
};

/** Running test bed. */
export type FloodBed = {
	flood(options: FloodOptions): Promise<FloodResult>;
	stop(): Promise<void>;
};

/** Test bed whose processes are not started yet. */
export type CreatedFloodBed = FloodBed & {
	/** Starts the processes, and resolves when requests are served. */
	start(): Promise<void>;
};

/** Creates a test bed. */
export async function createFloodBed(): Promise<CreatedFloodBed> {
	const system: PlatformSystem = await createPlatformSystem({
		controls: 1, entries: 1, ports: {
			control: 26_146, links: 26_660, front: 26_144, ready: 26_140,
		},
	});
	const entry: Machine = system.entries[0]!;
	const upstreams: RawUpstream[] = [];

	async function waitUntilServed(): Promise<void> {
		const until = Date.now() + startLimitMilliseconds;
		while (Date.now() < until) {
			const {status} = await system.send(entry, {id: 'before', path: '/look/plain'});
			if (status === 200) {
				return;
			}

			await delay(pollMilliseconds);
		}

		throw new Error('timed out waiting until requests are served');
	}

	function call(kind: string, index: number, isRead: boolean): Socket {
		const socket = connect(system.ports.front, entry.host);
		socket.on('error', () => {
			socket.destroy();
		});
		const isUpload = kind === unreadUpload;
		socket.write(`${isUpload ? 'POST /upload' : 'GET /look'}/${kind}/${index} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: f-${kind}-${index}\r\nDeadline-Ms: ${deadlineMilliseconds}\r\n`);
		socket.write(isUpload ? `${chunked}\r\n` : '\r\n');
		if (isUpload) {
			sendFiller(socket, '1\r\nx\r\n');
		}

		if (isRead) {
			socket.resume();
		} else {
			socket.pause();
		}

		return socket;
	}

	function getOpenFloods(): number {
		return upstreams.reduce((sum, upstream) => sum + upstream.getFloodCount(), 0);
	}

	return {
		async start() {
			for (const machine of [...system.controls, entry]) {
				system.start(machine, true);
			}

			await system.callOperatorApi('PUT', '/-/config', renderConfiguration(1, [{path: '/look/', type: 'safe'}, {path: '/upload/', type: 'upload'}], 20_000));
			for (let index = 0; index < upstreamCount; index++) {
				upstreams.push(await startRawUpstream({
					id: `i-${index}`, service: 'stock', host: '127.0.14.9', port: 26_080 + index, zone: 'north', slots: 2000, getControlAddresses: system.getControlAddresses, respond,
				}));
			}

			await waitUntilServed();
		},
		async flood({kinds, callerCount, isRead}) {
			await waitUntilServed();
			const processId = entry.child!.pid!;
			resetPeak(processId);
			const startedAt = performance.now();
			const sockets = kinds.flatMap(kind => Array.from({length: callerCount}, (_, index) => call(kind, index, isRead)));
			await delay(deadlineMilliseconds / 2);
			const {status} = await system.send(entry, {id: 'meanwhile', path: '/look/plain', deadlineMilliseconds: plainDeadlineMilliseconds});
			while (getOpenFloods() > 0 && performance.now() < startedAt + closeLimitMilliseconds) {
				await delay(pollMilliseconds);
			}

			const isAlive = entry.child!.exitCode === null && entry.child!.signalCode === null;
			const result: FloodResult = {
				isAlive, peakMegabytes: isAlive ? getPeakMegabytes(processId) : Number.POSITIVE_INFINITY, openFloods: getOpenFloods(), plainStatus: status,
			};
			for (const socket of sockets) {
				socket.destroy();
			}

			console.log(kinds.join(' '), {
				callerCount, isRead, ...result, milliseconds: Math.round(performance.now() - startedAt),
			});
			return result;
		},
		async stop() {
			await Promise.all(upstreams.map(async upstream => upstream.stop()));
			await system.stop();
		},
	};
}
