/**
 * A stand-in server: an HTTP server with slots, service times and faults that
 * announces itself and records each run.
 */
import {Buffer} from 'node:buffer';
import {createHash, randomUUID} from 'node:crypto';
import {
	createServer, request as startRequest, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '../source/randomness/index.js';
import {drawServiceTime, ordinaryBehaviour, type Behaviour} from './behaviour.js';

const announceMilliseconds = 1000;
const trailingMilliseconds = 3;

/** Header that asks a server to crash. */
export const crashHeader = 'x-crash';

/** Header that a caller sends and that the answer repeats. */
export const tokenHeader = 'x-caller-token';

/** Header with the caller's id of one sending. */
export const sendHeader = 'x-send-id';

/** Header with the SHA-256 digest of the answer's body. */
export const digestHeader = 'x-body-digest';

/** What became of a request at a server. */
export type RunOutcome = 'ran' | 'shed' | 'cancelled' | 'failed' | 'crashed' | 'cut' | 'probe';

/** One request at a server. */
export type Run = {
	readonly server: string;
	readonly zone: string;
	readonly requestId: string;
	readonly key: string | undefined;
	readonly token: string | undefined;
	/** Wall-clock milliseconds. */
	readonly startedAt: number;
	readonly endedAt: number;
	/** Id that the caller gives each sending of a request. */
	readonly sendId: string | undefined;
	/** Whether the server began to run the request. */
	readonly hasStarted: boolean;
	/** Requests at the server when this one arrived, itself included. */
	readonly inFlight: number;
	/** Requests that the server could carry when this one arrived. */
	readonly capacity: number;
	readonly isCold: boolean;
	readonly outcome: RunOutcome;
};

/** Options of a stand-in server. */
export type StandInOptions = {
	readonly service: string;
	readonly name: string;
	readonly zone: string;
	readonly host: string;
	readonly port: number;
	readonly connections: number;
	readonly behaviour: Partial<Behaviour>;
	/** Base addresses that take announcements. */
	readonly announceTo: readonly string[];
	readonly seed: number;
	/** Takes each finished run. */
	record(run: Run): void;
};

/** A running stand-in server. */
export type StandIn = {
	readonly name: string;
	readonly port: number;
	getBehaviour(): Behaviour;
	change(behaviour: Partial<Behaviour>): void;
	/** Starts to leave; resolves when the announcement was taken and no request is in flight. */
	leave(): Promise<void>;
	/** Ends at once and resets every connection. */
	crash(): void;
	/** Starts again after a crash, with a new boot id and cold. */
	restart(): Promise<void>;
	stop(): Promise<void>;
	getInFlight(): number;
	getLargestInFlight(): number;
	/** Gets how often more requests arrived than a cold server can carry. */
	getOverloads(): number;
	/** Gets the requests that arrived. */
	getArrived(): number;
	resetCounts(): void;
	isUp(): boolean;
};

type Job = {readonly start: () => void; isGone: boolean};

/**
 * Starts a stand-in server.
 * @param options - Place, behaviour and where to announce.
 */
export async function startStandIn(options: StandInOptions): Promise<StandIn> {
	let behaviour: Behaviour = {...ordinaryBehaviour, ...options.behaviour};
	const random = createRandom(options.seed);
	const sockets = new Set<Socket>();
	const started = new WeakSet<IncomingMessage>();
	let boot: string = randomUUID();
	let waiting: Job[] = [];
	let busy = 0;
	let present = 0;
	let largest = 0;
	let overloads = 0;
	let arrived = 0;
	let servedCold = 0;
	let isUp = false;
	let {port} = options;
	let announceTurn = 0;
	let server = createHttpServer();

	function getCapacity(): number {
		return behaviour.isCold ? Math.min(behaviour.slots, behaviour.coldSlots + Math.floor(servedCold / behaviour.requestsPerColdSlot)) : behaviour.slots;
	}

	/** Counts a request towards the end of the cold start. */
	function warmUp(): void {
		if (!behaviour.isCold) {
			return;
		}

		servedCold++;
		if (getCapacity() >= behaviour.slots) {
			behaviour = {...behaviour, isCold: false};
		}
	}

	function createHttpServer(): ReturnType<typeof createServer> {
		const created = createServer({keepAliveTimeout: 20_000, noDelay: true}, handle);
		created.on('connection', socket => {
			sockets.add(socket);
			socket.once('close', () => {
				sockets.delete(socket);
			});
			socket.on('error', () => {
				socket.destroy();
			});
		});
		return created;
	}

	function startNext(): void {
		while (busy < getCapacity()) {
			const job = waiting.shift();
			if (job === undefined) {
				return;
			}

			if (!job.isGone) {
				job.start();
			}
		}
	}

	function handle(request: IncomingMessage, response: ServerResponse): void {
		if (request.url === '/health') {
			finishProbe(response);
			return;
		}

		const startedAt = Date.now();
		arrived++;
		present++;
		largest = Math.max(largest, present);
		const capacity = getCapacity();
		const inFlight = present;
		const {isCold} = behaviour;
		overloads += behaviour.isCold && inFlight > capacity ? 1 : 0;
		let isRecorded = false;
		function end(outcome: RunOutcome): void {
			if (isRecorded) {
				return;
			}

			isRecorded = true;
			present--;
			options.record({
				server: options.name,
				zone: options.zone,
				requestId: getHeader(request, 'guavadeck-request-id') ?? '',
				key: getHeader(request, 'idempotency-key'),
				token: getHeader(request, tokenHeader),
				sendId: getHeader(request, sendHeader),
				hasStarted: started.has(request),
				startedAt,
				endedAt: Date.now(),
				inFlight,
				capacity,
				isCold,
				outcome,
			});
		}

		if (shouldShed(inFlight, capacity)) {
			shed(request, response);
			end('shed');
			return;
		}

		if (random() < behaviour.failFastShare) {
			request.resume();
			answer(response, request, 500, Buffer.from('failed\n'));
			end('failed');
			return;
		}

		readAndRun(request, response, end);
	}

	function shouldShed(inFlight: number, capacity: number): boolean {
		return behaviour.isCold ? inFlight > capacity : inFlight > capacity + behaviour.queueLength;
	}

	function readAndRun(request: IncomingMessage, response: ServerResponse, end: (outcome: RunOutcome) => void): void {
		const hash = createHash('sha256');
		request.on('data', (chunk: Buffer) => {
			hash.update(chunk);
		});
		request.once('end', () => {
			if (request.complete) {
				enqueue(request, response, end);
			}
		});
		response.once('close', () => {
			end('cancelled');
		});
	}

	function enqueue(request: IncomingMessage, response: ServerResponse, end: (outcome: RunOutcome) => void): void {
		const job: Job = {
			isGone: false,
			start() {
				run(request, response, end);
			},
		};
		response.once('close', () => {
			job.isGone = true;
		});
		waiting.push(job);
		startNext();
	}

	function run(request: IncomingMessage, response: ServerResponse, end: (outcome: RunOutcome) => void): void {
		started.add(request);
		if (behaviour.crashesOnMarker && request.headers[crashHeader] !== undefined) {
			end('crashed');
			crash();
			return;
		}

		busy++;
		let isDone = false;
		function done(): void {
			if (!isDone) {
				isDone = true;
				clearTimeout(timer);
				busy--;
				startNext();
			}
		}

		const timer = setTimeout(() => {
			warmUp();
			finish(request, response, end);
			done();
		}, drawServiceTime(behaviour, random));
		response.once('close', done);
	}

	function finish(request: IncomingMessage, response: ServerResponse, end: (outcome: RunOutcome) => void): void {
		const bytes = Number(new URL(request.url ?? '/', 'http://server').searchParams.get('bytes') ?? behaviour.answerBytes);
		const token = getHeader(request, tokenHeader) ?? '';
		const body = Buffer.alloc(Math.max(bytes, token.length + 1), 'tile ');
		body.write(`${token}\n`);
		if (random() < behaviour.resetShare) {
			end('cut');
			response.socket?.resetAndDestroy();
			return;
		}

		if (random() < behaviour.truncatedShare) {
			end('cut');
			truncate(response, body);
			return;
		}

		end('ran');
		answer(response, request, 200, body);
		if (random() < behaviour.trailingShare) {
			const {socket} = response;
			setTimeout(() => {
				socket?.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother');
			}, trailingMilliseconds);
		}
	}

	function truncate(response: ServerResponse, body: Buffer): void {
		response.writeHead(200, {'content-length': body.length, 'guavadeck-request-id': String(response.req.headers['guavadeck-request-id'] ?? '')});
		response.write(body.subarray(0, Math.floor(body.length / 2)), () => {
			response.socket?.destroy();
		});
	}

	function answer(response: ServerResponse, request: IncomingMessage, status: number, body: Buffer): void {
		response.writeHead(status, {
			'content-type': 'text/plain',
			'content-length': body.length,
			'guavadeck-state': getState(),
			'guavadeck-load': String(behaviour.reportedLoad ?? present),
			'guavadeck-request-id': getHeader(request, 'guavadeck-request-id') ?? '',
			[digestHeader]: createHash('sha256').update(body).digest('hex'),
			[tokenHeader]: getHeader(request, tokenHeader) ?? '',
			...(behaviour.isLeaving ? {connection: 'close'} : {}),
		});
		response.end(body);
	}

	function shed(request: IncomingMessage, response: ServerResponse): void {
		request.resume();
		response.writeHead(503, {
			'content-length': 0,
			'guavadeck-state': getState(),
			'guavadeck-request-id': getHeader(request, 'guavadeck-request-id') ?? '',
			...(behaviour.declaresSheds ? {'guavadeck-verdict': 'not-run'} : {}),
		});
		response.end();
	}

	function finishProbe(response: ServerResponse): void {
		const now = Date.now();
		options.record({
			server: options.name, zone: options.zone, requestId: '', key: undefined, token: undefined, sendId: undefined, hasStarted: false, startedAt: now, endedAt: now, inFlight: present, capacity: getCapacity(), isCold: behaviour.isCold, outcome: 'probe',
		});
		response.writeHead(behaviour.isHealthy ? 200 : 500, {'content-length': 0});
		response.end();
	}

	function getState(): 'cold' | 'warm' | 'leaving' {
		if (behaviour.isLeaving) {
			return 'leaving';
		}

		return behaviour.isCold ? 'cold' : 'warm';
	}

	async function announce(): Promise<boolean> {
		const target = options.announceTo[announceTurn++ % Math.max(1, options.announceTo.length)];
		if (target === undefined || !isUp) {
			return false;
		}

		const body = JSON.stringify({
			service: options.service, name: options.name, host: options.host, port, zone: options.zone, slots: behaviour.slots, connections: options.connections, boot, state: getState(), load: behaviour.reportedLoad ?? present,
		});
		return post(new URL('/v1/announce', target), body);
	}

	async function listen(): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, options.host, resolve);
		});
		port = (server.address() as AddressInfo).port;
		isUp = true;
		void announce();
	}

	function crash(): void {
		isUp = false;
		server.close();
		for (const socket of sockets) {
			socket.resetAndDestroy();
		}

		waiting = [];
	}

	await listen();
	const timer = setInterval(() => {
		void announce();
	}, announceMilliseconds);

	return {
		name: options.name,
		port,
		getBehaviour: () => behaviour,
		change(next) {
			behaviour = {...behaviour, ...next};
			servedCold = next.isCold === true ? 0 : servedCold;
			startNext();
		},
		async leave() {
			behaviour = {...behaviour, isLeaving: true};
			while (!await announce()) {
				await delay(50);
			}

			while (present > 0) {
				await delay(10);
			}
		},
		crash,
		async restart() {
			boot = randomUUID();
			behaviour = {...behaviour, isCold: true, isLeaving: false};
			servedCold = 0;
			server = createHttpServer();
			await listen();
		},
		async stop() {
			clearInterval(timer);
			isUp = false;
			const closed = new Promise(resolve => {
				server.close(resolve);
			});
			server.closeIdleConnections();
			await Promise.race([closed, delay(500)]);
			server.closeAllConnections();
		},
		getInFlight: () => present,
		getLargestInFlight: () => largest,
		getOverloads: () => overloads,
		getArrived: () => arrived,
		resetCounts() {
			largest = present;
			overloads = 0;
			arrived = 0;
		},
		isUp: () => isUp,
	};
}

function getHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value.join(',') : value;
}

async function post(url: URL, body: string): Promise<boolean> {
	return new Promise(resolve => {
		const request = startRequest(url, {
			method: 'POST', agent: false, timeout: 2000, headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)},
		});
		request.once('response', response => {
			response.resume();
			resolve(response.statusCode === 200);
		});
		request.once('timeout', () => {
			request.destroy();
		});
		request.once('error', () => {
			resolve(false);
		});
		request.end(body);
	});
}
