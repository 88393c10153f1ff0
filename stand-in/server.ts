/**
 * Stand-in server for tests and benchmarks: an HTTP server with limited concurrency,
 * random service times and injected faults. It announces itself and records every
 * request and probe that it receives.
 */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '../source/randomness/index.js';
import {startAnnouncer} from './announcer.js';
import {sampleServiceTime, defaultBehaviour, type Behaviour} from './behaviour.js';
import {
	crashHeader, getHeader, sendIdHeader, tokenHeader, type RequestRecord, type RequestOutcome,
} from './request-record.js';
import {
	sendCompleteResponse, sendShedResponse, sendTruncatedResponse, sendUnsolicitedResponse, type StatusReport,
} from './responses.js';
import {startPollClock} from './poll-clock.js';
import {createRequestCounts} from './request-counts.js';
import {createRestartableListener} from './restartable-listener.js';
import {createSlots, type Job} from './slots.js';
import {
	getAnnouncedState, getReportedLoad, getStatedWithdrawal, getStatusReport,
} from './stated-status.js';

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
	const startedRequests = new WeakSet<IncomingMessage>();
	let bootId: string = randomUUID();
	const counts = createRequestCounts();
	const listener = createRestartableListener({host: options.host, port: options.port, handle: handleRequest});
	const slots = createSlots(() => behaviour);
	const pollClock = startPollClock();
	const announcer = startAnnouncer({
		announceTo: options.announceTo,
		getAnnouncement: () => listener.isUp()
			? {
				service: options.service, name: options.name, host: options.host, port: listener.getPort(), zone: options.zone, slots: behaviour.slots, connections: options.connections, boot: bootId, state: getAnnouncedState(behaviour), load: getReportedLoad(behaviour, counts.getInFlight()),
			}
			: undefined,
	});

	/** Counts a completed request, and ends the cold start once the capacity has reached the number of slots. */
	function advanceWarmUp(): void {
		if (slots.countCompletedRequest()) {
			behaviour = {...behaviour, isCold: false};
		}
	}

	function handleRequest(request: IncomingMessage, response: ServerResponse): void {
		if (request.url === '/health') {
			respondToProbe(response);
			return;
		}

		const startedAt = Date.now();
		const earliestAt = pollClock.getEarliestArrival(startedAt);
		const inFlight = counts.begin();
		const capacity = slots.getCapacity();
		const {isCold} = behaviour;
		if (isCold && inFlight > capacity) {
			counts.countOverload();
		}

		let isRecorded = false;
		function recordOutcome(outcome: RequestOutcome): void {
			if (isRecorded) {
				return;
			}

			isRecorded = true;
			counts.end();
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
				withdrawal: getStatedWithdrawal(behaviour, outcome),
			});
		}

		if (shouldShed(inFlight, capacity)) {
			sendShedResponse({request, response}, getStatus().state, behaviour.declaresSheds, behaviour.pauseMilliseconds);
			recordOutcome('shed');
			return;
		}

		if (random() < behaviour.failFastShare) {
			request.resume();
			sendCompleteResponse({request, response}, 500, Buffer.from('failed\n'), getStatus());
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
		sendCompleteResponse({request, response}, 200, body, getStatus());
		if (random() < behaviour.trailingShare) {
			sendUnsolicitedResponse({request, response});
		}
	}

	function respondToProbe(response: ServerResponse): void {
		const now = Date.now();
		options.record({
			server: options.name, zone: options.zone, requestId: '', key: undefined, token: undefined, sendId: undefined, hasStarted: false, startedAt: now, earliestAt: pollClock.getEarliestArrival(now), endedAt: now, inFlight: counts.getInFlight(), capacity: slots.getCapacity(), isCold: behaviour.isCold, outcome: 'probe',
		});
		response.writeHead(behaviour.isHealthy ? 200 : 500, {'content-length': 0});
		response.end();
	}

	function getStatus(): StatusReport {
		return getStatusReport(behaviour, counts.getInFlight());
	}

	/** Starts to listen and announces the server. */
	async function listen(): Promise<void> {
		await listener.start();
		void announcer.announce();
	}

	function crash(): void {
		listener.crash();
		slots.clearQueue();
	}

	await listen();
	return {
		name: options.name,
		port: listener.getPort(),
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

			while (counts.getInFlight() > 0) {
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
			await listen();
		},
		async stop() {
			announcer.stop();
			pollClock.stop();
			await listener.stop();
		},
		getInFlight: counts.getInFlight,
		getMaximumInFlight: counts.getMaximumInFlight,
		getOverloadCount: counts.getOverloadCount,
		getRequestCount: counts.getRequestCount,
		resetCounters: counts.reset,
		isUp: listener.isUp,
	};
}
