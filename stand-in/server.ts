/**
 * A stand-in server: an HTTP server with slots, service times and faults that
 * announces itself and records each run.
 */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '../source/randomness/index.js';
import {startAnnouncer} from './announcer.js';
import {
	answerAgain, answerShed, answerTruncated, answerWhole, type SelfReport,
} from './answers.js';
import {drawServiceTime, ordinaryBehaviour, type Behaviour} from './behaviour.js';
import {
	crashHeader, getHeader, sendHeader, tokenHeader, type Run, type RunOutcome,
} from './run.js';
import {createSlots, type Job} from './slots.js';

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
	let present = 0;
	let largest = 0;
	let overloads = 0;
	let arrived = 0;
	let isUp = false;
	let {port} = options;
	let server = createHttpServer();
	const slots = createSlots(() => behaviour);
	const announcer = startAnnouncer({
		announceTo: options.announceTo,
		getAnnouncement: () => isUp
			? {
				service: options.service, name: options.name, host: options.host, port, zone: options.zone, slots: behaviour.slots, connections: options.connections, boot, state: getState(), load: getLoad(),
			}
			: undefined,
	});

	/** Counts a request towards the end of the cold start. */
	function warmUp(): void {
		if (slots.countServed()) {
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

	function handle(request: IncomingMessage, response: ServerResponse): void {
		if (request.url === '/health') {
			finishProbe(response);
			return;
		}

		const startedAt = Date.now();
		arrived++;
		present++;
		largest = Math.max(largest, present);
		const capacity = slots.getCapacity();
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
			answerShed({request, response}, getState(), behaviour.declaresSheds);
			end('shed');
			return;
		}

		if (random() < behaviour.failFastShare) {
			request.resume();
			answerWhole({request, response}, 500, Buffer.from('failed\n'), getReport());
			end('failed');
			return;
		}

		readAndRun(request, response, end);
	}

	function shouldShed(inFlight: number, capacity: number): boolean {
		return behaviour.isCold ? inFlight > capacity : inFlight > capacity + behaviour.queueLength;
	}

	function readAndRun(request: IncomingMessage, response: ServerResponse, end: (outcome: RunOutcome) => void): void {
		request.resume();
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
		slots.add(job);
	}

	function run(request: IncomingMessage, response: ServerResponse, end: (outcome: RunOutcome) => void): void {
		started.add(request);
		if (behaviour.crashesOnMarker && request.headers[crashHeader] !== undefined) {
			end('crashed');
			crash();
			return;
		}

		slots.take();
		let isDone = false;
		function done(): void {
			if (!isDone) {
				isDone = true;
				clearTimeout(timer);
				slots.release();
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
			answerTruncated({request, response}, body);
			return;
		}

		end('ran');
		answerWhole({request, response}, 200, body, getReport());
		if (random() < behaviour.trailingShare) {
			answerAgain({request, response});
		}
	}

	function finishProbe(response: ServerResponse): void {
		const now = Date.now();
		options.record({
			server: options.name, zone: options.zone, requestId: '', key: undefined, token: undefined, sendId: undefined, hasStarted: false, startedAt: now, endedAt: now, inFlight: present, capacity: slots.getCapacity(), isCold: behaviour.isCold, outcome: 'probe',
		});
		response.writeHead(behaviour.isHealthy ? 200 : 500, {'content-length': 0});
		response.end();
	}

	function getLoad(): number {
		return behaviour.reportedLoad ?? present;
	}

	function getReport(): SelfReport {
		return {state: getState(), load: getLoad()};
	}

	function getState(): 'cold' | 'warm' | 'leaving' {
		if (behaviour.isLeaving) {
			return 'leaving';
		}

		return behaviour.isCold ? 'cold' : 'warm';
	}

	async function listen(): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, options.host, resolve);
		});
		port = (server.address() as AddressInfo).port;
		isUp = true;
		void announcer.announce();
	}

	function crash(): void {
		isUp = false;
		server.close();
		for (const socket of sockets) {
			socket.resetAndDestroy();
		}

		slots.clear();
	}

	await listen();
	return {
		name: options.name,
		port,
		getBehaviour: () => behaviour,
		change(next) {
			behaviour = {...behaviour, ...next};
			if (next.isCold === true) {
				slots.cool();
			}

			slots.startNext();
		},
		async leave() {
			behaviour = {...behaviour, isLeaving: true};
			while (!await announcer.announce()) {
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
			slots.cool();
			server = createHttpServer();
			await listen();
		},
		async stop() {
			announcer.stop();
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
