/**
 * Stand-in server for tests and benchmarks: an HTTP server with limited concurrency,
 * random service times and injected faults. It announces itself and records every
 * request and probe that it receives.
 */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '../source/randomness/index.js';
import {startAnnouncer} from './announcer.js';
import {sampleServiceTime, defaultBehaviour, type Behaviour} from './behaviour.js';
import {
	crashHeader, getHeader, sendIdHeader, tokenHeader, type RequestRecord, type RequestOutcome, type StatedWithdrawal,
} from './request-record.js';
import {
	sendCompleteResponse, sendShedResponse, sendTruncatedResponse, sendUnsolicitedResponse, type StatusReport,
} from './responses.js';
import {startPollClock} from './poll-clock.js';
import {createSlots, type Job} from './slots.js';

/** Options of a stand-in server. */
export type StandInOptions = {
	readonly service: string;
	readonly name: string;
	readonly zone: string;
	readonly host: string;
	/** Port to listen on, 0 for any. */
	readonly port: number;
	/** Maximum number of connections, as announced. */
	readonly connections: number;
	/** Fields that differ from the default behaviour. */
	readonly behaviour: Partial<Behaviour>;
	/** Base addresses to which announcements are sent. */
	readonly announceTo: readonly string[];
	/** Seed of the service times and injected faults. */
	readonly seed: number;
	/** Called once for each request and probe, with its outcome. */
	record(record: RequestRecord): void;
};

/** A running stand-in server. */
export type StandIn = {
	readonly name: string;
	readonly port: number;
	getBehaviour(): Behaviour;
	/** Changes the given fields of the behaviour; `isCold: true` restarts the cold start. */
	updateBehaviour(behaviour: Partial<Behaviour>): void;
	/** Announces that the server is leaving; resolves when the announcement was accepted and no request is in flight. */
	leave(): Promise<void>;
	/** Stops listening immediately and resets every connection. */
	crash(): void;
	/** Starts the server again after a crash, cold, with a new boot id and on the same port. */
	restart(): Promise<void>;
	/** Stops listening and closes the connections, those with requests in flight after a grace period. */
	stop(): Promise<void>;
	getInFlight(): number;
	/** Gets the largest number of requests in flight since the last reset. */
	getMaximumInFlight(): number;
	/** Gets the number of requests received beyond the capacity of the cold server since the last reset. */
	getOverloadCount(): number;
	/** Gets the number of requests received since the last reset, without probes. */
	getRequestCount(): number;
	resetCounters(): void;
	isUp(): boolean;
};

/**
 * Starts a stand-in server.
 * @param options - Identity, address, behaviour and announcement addresses.
 */
export async function startStandIn(options: StandInOptions): Promise<StandIn> {
	let behaviour: Behaviour = {...defaultBehaviour, ...options.behaviour};
	const random = createRandom(options.seed);
	const sockets = new Set<Socket>();
	const startedRequests = new WeakSet<IncomingMessage>();
	let bootId: string = randomUUID();
	let inFlightCount = 0;
	let maximumInFlight = 0;
	let overloadCount = 0;
	let requestCount = 0;
	let isUp = false;
	let {port} = options;
	let server = createHttpServer();
	const slots = createSlots(() => behaviour);
	const pollClock = startPollClock();
	const announcer = startAnnouncer({
		announceTo: options.announceTo,
		getAnnouncement: () => isUp
			? {
				service: options.service, name: options.name, host: options.host, port, zone: options.zone, slots: behaviour.slots, connections: options.connections, boot: bootId, state: getState(), load: getLoad(),
			}
			: undefined,
	});

	/** Counts a completed request, and ends the cold start once the capacity has reached the number of slots. */
	function advanceWarmUp(): void {
		if (slots.countCompletedRequest()) {
			behaviour = {...behaviour, isCold: false};
		}
	}

	function createHttpServer(): ReturnType<typeof createServer> {
		const httpServer = createServer({keepAliveTimeout: 20_000, noDelay: true}, handleRequest);
		httpServer.on('connection', socket => {
			sockets.add(socket);
			socket.once('close', () => {
				sockets.delete(socket);
			});
			socket.on('error', () => {
				socket.destroy();
			});
		});
		return httpServer;
	}

	function handleRequest(request: IncomingMessage, response: ServerResponse): void {
		if (request.url === '/health') {
			respondToProbe(response);
			return;
		}

		const startedAt = Date.now();
		const earliestAt = pollClock.getEarliestArrival(startedAt);
		requestCount++;
		inFlightCount++;
		maximumInFlight = Math.max(maximumInFlight, inFlightCount);
		const capacity = slots.getCapacity();
		const inFlight = inFlightCount;
		const {isCold} = behaviour;
		overloadCount += behaviour.isCold && inFlight > capacity ? 1 : 0;
		let isRecorded = false;
		function recordOutcome(outcome: RequestOutcome): void {
			if (isRecorded) {
				return;
			}

			isRecorded = true;
			inFlightCount--;
			options.record({
				server: options.name,
				zone: options.zone,
				requestId: getHeader(request, 'guavadeck-request-id') ?? '',
				key: getHeader(request, 'idempotency-key'),
				token: getHeader(request, tokenHeader),
				sendId: getHeader(request, sendIdHeader),
				hasStarted: startedRequests.has(request),
				startedAt,
				earliestAt,
				endedAt: Date.now(),
				inFlight,
				capacity,
				isCold,
				outcome,
				withdrawal: getStatedWithdrawal(outcome),
			});
		}

		if (shouldShed(inFlight, capacity)) {
			sendShedResponse({request, response}, getStatusReport().state, behaviour.declaresSheds, behaviour.pauseMilliseconds);
			recordOutcome('shed');
			return;
		}

		if (random() < behaviour.failFastShare) {
			request.resume();
			sendCompleteResponse({request, response}, 500, Buffer.from('failed\n'), getStatusReport());
			recordOutcome('failed');
			return;
		}

		receiveRequest(request, response, recordOutcome);
	}

	/** Checks whether the server pauses, or a request exceeds the capacity and the queue; a cold server does not queue. */
	function shouldShed(inFlight: number, capacity: number): boolean {
		if (behaviour.pauseMilliseconds > 0) {
			return true;
		}

		return behaviour.isCold ? inFlight > capacity : inFlight > capacity + behaviour.queueLength;
	}

	/** Queues a request once it has been received completely. */
	function receiveRequest(request: IncomingMessage, response: ServerResponse, recordOutcome: (outcome: RequestOutcome) => void): void {
		request.resume();
		request.once('end', () => {
			if (request.complete) {
				enqueue(request, response, recordOutcome);
			}
		});
		response.once('close', () => {
			recordOutcome('cancelled');
		});
	}

	function enqueue(request: IncomingMessage, response: ServerResponse, recordOutcome: (outcome: RequestOutcome) => void): void {
		const job: Job = {
			isCancelled: false,
			start() {
				processRequest(request, response, recordOutcome);
			},
		};
		response.once('close', () => {
			job.isCancelled = true;
		});
		slots.enqueue(job);
	}

	/** Occupies a slot for a random service time, then sends the response. */
	function processRequest(request: IncomingMessage, response: ServerResponse, recordOutcome: (outcome: RequestOutcome) => void): void {
		startedRequests.add(request);
		if (behaviour.crashesOnMarker && request.headers[crashHeader] !== undefined) {
			recordOutcome('crashed');
			crash();
			return;
		}

		slots.acquire();
		let isSlotReleased = false;
		function releaseSlot(): void {
			if (!isSlotReleased) {
				isSlotReleased = true;
				clearTimeout(timer);
				slots.release();
			}
		}

		const timer = setTimeout(() => {
			advanceWarmUp();
			sendResponse(request, response, recordOutcome);
			releaseSlot();
		}, sampleServiceTime(behaviour, random));
		response.once('close', releaseSlot);
	}

	/** Sends the response, or injects a fault instead. The body begins with the token of the caller, and the query parameter `bytes` overrides its size. */
	function sendResponse(request: IncomingMessage, response: ServerResponse, recordOutcome: (outcome: RequestOutcome) => void): void {
		const bytes = Number(new URL(request.url ?? '/', 'http://server').searchParams.get('bytes') ?? behaviour.answerBytes);
		const token = getHeader(request, tokenHeader) ?? '';
		const body = Buffer.alloc(Math.max(bytes, token.length + 1), 'tile ');
		body.write(`${token}\n`);
		if (random() < behaviour.resetShare) {
			recordOutcome('cut');
			response.socket?.resetAndDestroy();
			return;
		}

		if (random() < behaviour.truncatedShare) {
			recordOutcome('cut');
			sendTruncatedResponse({request, response}, body);
			return;
		}

		recordOutcome('ran');
		sendCompleteResponse({request, response}, 200, body, getStatusReport());
		if (random() < behaviour.trailingShare) {
			sendUnsolicitedResponse({request, response});
		}
	}

	function respondToProbe(response: ServerResponse): void {
		const now = Date.now();
		options.record({
			server: options.name, zone: options.zone, requestId: '', key: undefined, token: undefined, sendId: undefined, hasStarted: false, startedAt: now, earliestAt: pollClock.getEarliestArrival(now), endedAt: now, inFlight: inFlightCount, capacity: slots.getCapacity(), isCold: behaviour.isCold, outcome: 'probe',
		});
		response.writeHead(behaviour.isHealthy ? 200 : 500, {'content-length': 0});
		response.end();
	}

	/** Gets the load to report: the number of requests in flight, unless the behaviour sets another one. */
	function getLoad(): number {
		return behaviour.reportedLoad ?? inFlightCount;
	}

	function getStatusReport(): StatusReport {
		return {state: behaviour.statesLeaving ? 'leaving' : getState(), load: getLoad()};
	}

	/** Gets the withdrawal that the response to a request with an outcome states now; only a refusal asks for a pause. */
	function getStatedWithdrawal(outcome: RequestOutcome): StatedWithdrawal | undefined {
		if (outcome === 'shed' && behaviour.pauseMilliseconds > 0) {
			return {kind: 'pause', milliseconds: behaviour.pauseMilliseconds};
		}

		return getStatusReport().state === 'leaving' ? {kind: 'leaving'} : undefined;
	}

	function getState(): 'cold' | 'warm' | 'leaving' {
		if (behaviour.isLeaving) {
			return 'leaving';
		}

		return behaviour.isCold ? 'cold' : 'warm';
	}

	/** Starts to listen and announces the server; a restarted server listens on the same port again. */
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

		slots.clearQueue();
	}

	await listen();
	return {
		name: options.name,
		port,
		getBehaviour: () => behaviour,
		updateBehaviour(changes) {
			behaviour = {...behaviour, ...changes};
			if (changes.isCold === true) {
				slots.restartColdStart();
			}

			slots.startQueuedJobs();
		},
		async leave() {
			behaviour = {...behaviour, isLeaving: true};
			while (!await announcer.announce()) {
				await delay(50);
			}

			while (inFlightCount > 0) {
				await delay(10);
			}
		},
		crash,
		async restart() {
			bootId = randomUUID();
			behaviour = {
				...behaviour, isCold: true, isLeaving: false, statesLeaving: false,
			};
			slots.restartColdStart();
			server = createHttpServer();
			await listen();
		},
		async stop() {
			announcer.stop();
			pollClock.stop();
			isUp = false;
			const closed = new Promise(resolve => {
				server.close(resolve);
			});
			server.closeIdleConnections();
			await Promise.race([closed, delay(500)]);
			server.closeAllConnections();
		},
		getInFlight: () => inFlightCount,
		getMaximumInFlight: () => maximumInFlight,
		getOverloadCount: () => overloadCount,
		getRequestCount: () => requestCount,
		resetCounters() {
			maximumInFlight = inFlightCount;
			overloadCount = 0;
			requestCount = 0;
		},
		isUp: () => isUp,
	};
}
