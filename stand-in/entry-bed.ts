/**
 * Test bed for the caller side of an entry: a control host and an entry in this process, and servers whose responses the test
 * determines, down to single bytes. Two routes are idempotent (`/look/`, and `/file/` with large responses), one is not (`/order/`).
 */
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {documentSchema, type Workspace} from '../source/configuration/index.js';
import {type Dialect, type Entry} from '../source/entry/index.js';
import {startLocalProcesses} from '../source/program/local-processes.js';
import {startAnnouncer} from './announcer.js';

const loopback = '127.0.0.1';
const pollMilliseconds = 20;
const startLimitMilliseconds = 10_000;

/** Request head that a server received. */
export type ReceivedRequest = {
	readonly method: string;
	readonly target: string;
	/** Values by lower-case name. */
	readonly headers: Readonly<Record<string, string>>;
	readonly socket: Socket;
	/** Bytes of the body that arrived together with the head. */
	readonly firstBytes: string;
};

/** Test bed with a running entry. */
export type EntryBed = {
	readonly entry: Entry;
	readonly callersPort: number;
	/** Heads of all requests that servers received except health checks, in order. */
	readonly received: readonly ReceivedRequest[];
	stopControl(): Promise<void>;
	/** Sends raw bytes on a new connection, which stays open on the caller's side if it is half-open. */
	connect(text: string, isHalfOpen?: boolean): RawConnection;
	stop(): Promise<void>;
};

/** Connection of a caller. */
export type RawConnection = {
	readonly socket: Socket;
	/** Gets what was received so far. */
	getText(): string;
	/** Waits until the received text satisfies a condition, or the connection is closed; returns the text. */
	waitFor(isSatisfied: (text: string) => boolean): Promise<string>;
	/** Waits until the connection is closed, and returns what was received. */
	waitForClose(): Promise<string>;
};

/** Options of `startEntryBed`. */
export type EntryBedOptions = {
	readonly dialect: Dialect;
	/** Number of servers. */
	readonly servers?: number;
	readonly timeoutMilliseconds?: number;
	readonly attempts?: number;
	/** Share of requests that may be hedged; 0 by default. */
	readonly hedgeRatio?: number;
	/** Whether the servers repeat the ids of requests before the test begins; true by default. */
	readonly repeatsIds?: boolean;
	/** Maximum size of a caller's body in bytes. */
	readonly bodyBytes?: number;
	/** Fields of the service in the document that differ; without them it has no hedges. */
	readonly service?: Readonly<Record<string, unknown>>;
	readonly targetMilliseconds?: number;
	readonly entrySettings?: Readonly<Record<string, unknown>>;
	/** Workspaces of the document, with a key of one of them for the first request. */
	readonly access?: {readonly workspaces: readonly Workspace[]; readonly key: string};
	/** Responds to a request with raw bytes on its connection. */
	respond(request: ReceivedRequest): void;
};

/** Connects to a port and sends text. */
export function connectRaw(port: number, text: string, isHalfOpen = false): RawConnection {
	const socket = connect({port, host: loopback, allowHalfOpen: isHalfOpen});
	let received = '';
	let isClosed = false;
	socket.on('data', chunk => {
		received += chunk.toString('latin1');
	});
	socket.on('error', () => {
		socket.destroy();
	});
	socket.once('close', () => {
		isClosed = true;
	});
	socket.write(text);

	async function waitFor(isSatisfied: (text: string) => boolean): Promise<string> {
		const until = Date.now() + startLimitMilliseconds;
		while (!isClosed && !isSatisfied(received) && Date.now() < until) {
			await delay(pollMilliseconds);
		}

		return received;
	}

	return {
		socket, getText: () => received, waitFor, waitForClose: async () => waitFor(() => false),
	};
}

/**
 * Reads request heads from a connection. Bodies are not interpreted; a head ends the body before it.
 * @param socket - Connection of a server.
 * @param onHead - Called with each head.
 */
export function readHeads(socket: Socket, onHead: (request: ReceivedRequest) => void): void {
	let text = '';
	socket.on('data', chunk => {
		text += chunk.toString('latin1');
		for (;;) {
			const start = /(?:GET|HEAD|POST|PUT) \/\S* HTTP\/1\.1\r\n/v.exec(text);
			const end = start === null ? -1 : text.indexOf('\r\n\r\n', start.index);
			if (start === null || end === -1) {
				return;
			}

			const [line, ...headerLines] = text.slice(start.index, end).split('\r\n');
			const [method, target] = line!.split(' ');
			const headers = Object.fromEntries(headerLines.map(header => [header.slice(0, header.indexOf(':')).toLowerCase(), header.slice(header.indexOf(':') + 1).trim()]));
			text = text.slice(end + 4);
			onHead({
				method: method!, target: target!, headers, socket, firstBytes: text,
			});
		}
	});
	socket.on('error', () => {
		socket.destroy();
	});
}

/**
 * Starts a test bed, and waits until its entry serves the routes.
 * @param options - Dialect, limits and behaviour of the servers.
 */
export async function startEntryBed(options: EntryBedOptions): Promise<EntryBed> {
	const {access} = options;
	const {entry, applyDocument, stopControl} = await startLocalProcesses({
		port: 0, dialect: options.dialect, entrySettings: {maximumBodyBytes: options.bodyBytes ?? 1_048_576, ...options.entrySettings},
	});
	const received: ReceivedRequest[] = [];
	const sockets = new Set<Socket>();
	const servers: Server[] = [];
	const announcers: Array<ReturnType<typeof startAnnouncer>> = [];
	let isWarmingUp = true;

	async function startServer(index: number): Promise<void> {
		const server = createServer(socket => {
			sockets.add(socket);
			readHeads(socket, request => {
				if (request.target === '/health' || isWarmingUp) {
					const idHeader = options.repeatsIds === false ? '' : `request-id: ${request.headers['request-id'] ?? ''}\r\n`;
					socket.write(`HTTP/1.1 200 OK\r\n${idHeader}upstream-signature: one\r\ncontent-length: 0\r\n\r\n`);
					return;
				}

				received.push(request);
				options.respond(request);
			});
		});
		server.listen(0, loopback);
		await once(server, 'listening');
		servers.push(server);
		const {port} = server.address() as {readonly port: number};
		const boot = randomUUID();
		const announcer = startAnnouncer({
			announceTo: [`http://${loopback}:${entry.adminPort}`],
			getAnnouncement: () => ({
				service: 'stock', name: `server-${index}`, host: loopback, port, zone: 'north', slots: 50, connections: 100, boot, state: 'warm',
			}),
		});
		announcers.push(announcer);
		while (!await announcer.announce()) {
			await delay(pollMilliseconds);
		}
	}

	const route = {
		parts: [{service: 'stock', weight: 1}], timeoutMilliseconds: options.timeoutMilliseconds ?? 5000, targetMilliseconds: options.targetMilliseconds ?? 2000, attempts: options.attempts ?? 2,
	};
	await applyDocument(documentSchema.parse({
		zones: [{name: 'north'}],
		services: [{
			name: 'stock', hedgeRatio: options.hedgeRatio ?? 0, easing: {initialSlots: 50, growthPerSuccess: 1}, ...options.service,
		}],
		routes: [
			{
				name: 'look', path: '/look/', isIdempotent: true, ...route,
			},
			{
				name: 'order', path: '/order/', isIdempotent: false, ...route,
			},
			{
				name: 'file', path: '/file/', isIdempotent: true, hasLargeResponses: true, ...route,
			},
		],
		...(access === undefined ? {} : {workspaces: access.workspaces}),
		...(options.bodyBytes === undefined
			? {}
			: {
				clientLimits: {
					headerBytes: 16_384, bodyBytes: options.bodyBytes, headerMilliseconds: 3000, idleMilliseconds: 15_000,
				},
			}),
	}));
	for (let index = 0; index < (options.servers ?? 2); index++) {
		await startServer(index);
	}

	const until = Date.now() + startLimitMilliseconds;
	const keyHeader = access === undefined ? '' : `${options.dialect.keyHeader}: ${access.key}\r\n`;
	for (;;) {
		const text = await connectRaw(entry.callersPort, `GET /look/start HTTP/1.1\r\nhost: x\r\n${keyHeader}connection: close\r\n\r\n`).waitForClose();
		if (text.startsWith('HTTP/1.1 200')) {
			break;
		}

		if (Date.now() > until) {
			throw new Error('timed out waiting until requests are served');
		}

		await delay(pollMilliseconds);
	}

	isWarmingUp = false;
	return {
		entry,
		callersPort: entry.callersPort,
		received,
		stopControl,
		connect: (text, isHalfOpen) => connectRaw(entry.callersPort, text, isHalfOpen),
		async stop() {
			for (const announcer of announcers) {
				announcer.stop();
			}

			await entry.stop();
			for (const server of servers) {
				server.close();
			}

			for (const socket of sockets) {
				socket.destroy();
			}

			await stopControl();
		},
	};
}
