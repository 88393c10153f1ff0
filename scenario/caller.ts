/**
 * Callers of a scenario: open-loop streams of requests through the ready entries, which the load balancer
 * of the platform would choose. A request that was not run, or whose outcome is unknown, is retried
 * through another entry.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {Agent, request as startRequest, type IncomingMessage} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '../source/randomness/index.js';
import {digestHeader, sendIdHeader, tokenHeader} from '../stand-in/index.js';
import {type CallerAttempt} from './history.js';

const retryDelayMilliseconds = 200;
const maximumAttempts = 4;

/** Time without activity on the connection after which an attempt fails, in milliseconds. */
const responseTimeoutMilliseconds = 15_000;

/** Name of an entry and the port on which it accepts requests on the loopback interface. */
export type EntryAddress = {readonly name: string; readonly port: number};

/** Options of `startStream`. */
export type StreamOptions = {
	readonly service: string;
	/** Average number of requests per second. */
	readonly rate: number;
	/** Whether the requests are orders with an idempotency key. Otherwise they are reads. */
	readonly isKeyed: boolean;
	readonly seed: number;
	/** Prefix of tokens, keys and send ids; must be unique among the streams of a scenario. */
	readonly prefix: string;
	/** Additional headers of each request. */
	readonly headers: Readonly<Record<string, string>>;
	getReadyEntries(): readonly EntryAddress[];
	/** Records an attempt that is complete. */
	record(attempt: CallerAttempt): void;
};

/** A running stream of requests. */
export type Stream = {
	/** Stops sending new requests, and waits until the pending ones have completed or used up their attempts. */
	stop(): Promise<void>;
};

/** Options of `sendOnce`. */
export type SendOptions = {
	readonly agent: Agent;
	readonly entry: EntryAddress;
	readonly service: string;
	/** Text that the response must repeat. */
	readonly token: string;
	/** Idempotency key of an order; undefined for a read. */
	readonly key: string | undefined;
	readonly sendId: string;
	readonly headers: Readonly<Record<string, string>>;
};

/**
 * Sends a request once and classifies the response.
 * @param options - Entry, and fields of the request.
 */
export async function sendOnce(options: SendOptions): Promise<CallerAttempt> {
	const {agent, entry, service, token, key, sendId} = options;
	const sentAt = Date.now();
	const body = key === undefined ? undefined : Buffer.from(`order ${key}`);
	return new Promise(resolve => {
		function complete(outcome: CallerAttempt['outcome'], reason: string, isIntact: boolean): void {
			resolve({
				sendId, key, token, entry: entry.name, isRead: key === undefined, sentAt, endedAt: Date.now(), outcome, reason, isIntact,
			});
		}

		const request = startRequest({
			host: '127.0.0.1',
			port: entry.port,
			agent,
			path: `/${service}`,
			method: key === undefined ? 'GET' : 'POST',
			timeout: responseTimeoutMilliseconds,
			headers: {
				...options.headers,
				[tokenHeader]: token,
				[sendIdHeader]: sendId,
				...(key === undefined ? {} : {'idempotency-key': key}),
				...(body === undefined ? {} : {'content-length': body.length}),
			},
		});
		request.once('response', response => {
			readResponse(response, token, complete);
		});
		request.once('timeout', () => {
			request.destroy(new Error('response timeout'));
		});
		request.once('error', (error: NodeJS.ErrnoException) => {
			// No server can have run a request whose connection was refused by the entry.
			complete(error.code === 'ECONNREFUSED' ? 'notRun' : 'unknown', error.code ?? error.message, false);
		});
		request.end(body);
	});
}

/** Reads a response, and classifies the attempt once the response has ended. */
function readResponse(response: IncomingMessage, token: string, complete: (outcome: CallerAttempt['outcome'], reason: string, isIntact: boolean) => void): void {
	const chunks: Buffer[] = [];
	response.on('data', (chunk: Buffer) => {
		chunks.push(chunk);
	});
	response.once('close', () => {
		const {verdict, reason} = {verdict: response.headers['guavadeck-verdict'], reason: String(response.headers['guavadeck-reason'] ?? response.statusCode)};
		if (!response.complete) {
			complete('unknown', 'truncated', false);
			return;
		}

		if (response.statusCode !== 200) {
			complete(verdict === 'not-run' ? 'notRun' : 'unknown', reason, false);
			return;
		}

		const body = Buffer.concat(chunks);
		const isIntact = response.headers[digestHeader] === createHash('sha256').update(body).digest('hex') && body.toString('latin1').startsWith(`${token}\n`);
		complete('answered', '', isIntact);
	});
}

/**
 * Starts a stream of requests.
 * @param options - Service, rate, entries and recorder.
 */
export function startStream(options: StreamOptions): Stream {
	const random = createRandom(options.seed);
	const agent = new Agent({keepAlive: true, maxSockets: 500});
	const pendingRequests = new Set<Promise<void>>();
	let isStopped = false;
	let nextRequestNumber = 1;
	let timer: NodeJS.Timeout | undefined;

	/** Chooses a random ready entry, other than the last one if there is another. */
	function chooseEntry(lastEntry: string | undefined): EntryAddress | undefined {
		const ready = options.getReadyEntries();
		const others = ready.filter(entry => entry.name !== lastEntry);
		const candidates = others.length > 0 ? others : ready;
		return candidates[Math.floor(random() * candidates.length)];
	}

	/** Sends a request until it is answered or the maximum number of attempts is reached. An attempt for which no entry is ready is not recorded. */
	async function sendWithRetries(requestNumber: number): Promise<void> {
		const token = `${options.prefix}-${requestNumber}`;
		let lastEntry: string | undefined;
		for (let attemptNumber = 1; attemptNumber <= maximumAttempts; attemptNumber++) {
			const entry = chooseEntry(lastEntry);
			if (entry !== undefined) {
				lastEntry = entry.name;
				const attempt = await sendOnce({
					agent, entry, service: options.service, token, key: options.isKeyed ? token : undefined, sendId: `${token}/${attemptNumber}`, headers: options.headers,
				});
				options.record(attempt);
				if (attempt.outcome === 'answered') {
					return;
				}
			}

			await delay(retryDelayMilliseconds);
		}
	}

	/** Starts a request, and schedules the next one after an exponentially distributed time. */
	function scheduleRequests(): void {
		if (isStopped) {
			return;
		}

		const request = sendWithRetries(nextRequestNumber++).finally(() => {
			pendingRequests.delete(request);
		});
		pendingRequests.add(request);
		timer = setTimeout(scheduleRequests, -Math.log(1 - random()) * 1000 / options.rate);
	}

	scheduleRequests();
	return {
		async stop() {
			isStopped = true;
			clearTimeout(timer);
			await Promise.all(pendingRequests);
			agent.destroy();
		},
	};
}
