/**
 * Callers of a scenario: an open-loop stream of requests through the entries that
 * say they are ready, as behind the platform's balancer. A sending whose fate is
 * unknown, or that was not run, is sent again through another entry.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {Agent, request as startRequest, type IncomingMessage} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '../source/randomness/index.js';
import {digestHeader, sendIdHeader, tokenHeader} from '../stand-in/index.js';
import {type CallerAttempt} from './history.js';

const resendMilliseconds = 200;
const sendingsAtMost = 4;
const callerTimeoutMilliseconds = 15_000;

/** An entry as callers see it. */
export type EntryAddress = {readonly name: string; readonly port: number};

/** Options of a stream of requests. */
export type StreamOptions = {
	readonly service: string;
	/** Requests a second. */
	readonly rate: number;
	readonly isKeyed: boolean;
	readonly seed: number;
	/** Prefix of the stream's ids. */
	readonly prefix: string;
	/** Further headers of each request. */
	readonly headers: Readonly<Record<string, string>>;
	getReady(): readonly EntryAddress[];
	record(sending: CallerAttempt): void;
};

/** A running stream of requests. */
export type Stream = {
	/** Stops sending and waits for the last answer. */
	stop(): Promise<void>;
};

/** Options of one sending. */
export type SendOptions = {
	readonly agent: Agent;
	readonly entry: EntryAddress;
	readonly service: string;
	readonly token: string;
	readonly key: string | undefined;
	readonly sendId: string;
	readonly headers: Readonly<Record<string, string>>;
};

/**
 * Sends a request once and judges the answer.
 * @param options - Entry and request.
 */
export async function sendOnce(options: SendOptions): Promise<CallerAttempt> {
	const {agent, entry, service, token, key, sendId} = options;
	const sentAt = Date.now();
	const body = key === undefined ? undefined : Buffer.from(`order ${key}`);
	return new Promise(resolve => {
		function end(told: CallerAttempt['outcome'], reason: string, isIntact: boolean): void {
			resolve({
				sendId, key, token, entry: entry.name, isRead: key === undefined, sentAt, endedAt: Date.now(), outcome: told, reason, isIntact,
			});
		}

		const request = startRequest({
			host: '127.0.0.1',
			port: entry.port,
			agent,
			path: `/${service}`,
			method: key === undefined ? 'GET' : 'POST',
			timeout: callerTimeoutMilliseconds,
			headers: {
				...options.headers, [tokenHeader]: token, [sendIdHeader]: sendId, ...(key === undefined ? {} : {'idempotency-key': key}), ...(body === undefined ? {} : {'content-length': body.length}),
			},
		});
		request.once('response', response => {
			readAnswer(response, token, end);
		});
		request.once('timeout', () => {
			request.destroy(new Error('timed out'));
		});
		request.once('error', (error: NodeJS.ErrnoException) => {
			// A refused connection handed nothing to anyone.
			end(error.code === 'ECONNREFUSED' ? 'notRun' : 'unknown', error.code ?? error.message, false);
		});
		request.end(body);
	});
}

function readAnswer(response: IncomingMessage, token: string, end: (told: CallerAttempt['outcome'], reason: string, isIntact: boolean) => void): void {
	const chunks: Buffer[] = [];
	response.on('data', (chunk: Buffer) => {
		chunks.push(chunk);
	});
	response.once('close', () => {
		const {verdict, reason} = {verdict: response.headers['guavadeck-verdict'], reason: String(response.headers['guavadeck-reason'] ?? response.statusCode)};
		if (!response.complete) {
			end('unknown', 'truncated', false);
			return;
		}

		if (response.statusCode !== 200) {
			end(verdict === 'not-run' ? 'notRun' : 'unknown', reason, false);
			return;
		}

		const body = Buffer.concat(chunks);
		const isIntact = response.headers[digestHeader] === createHash('sha256').update(body).digest('hex') && body.toString('latin1').startsWith(`${token}\n`);
		end('answered', '', isIntact);
	});
}

/**
 * Starts a stream of requests.
 * @param options - Rate, service and where to record.
 */
export function startStream(options: StreamOptions): Stream {
	const random = createRandom(options.seed);
	const agent = new Agent({keepAlive: true, maxSockets: 500});
	const open = new Set<Promise<void>>();
	let isStopped = false;
	let next = 1;
	let timer: NodeJS.Timeout | undefined;

	function chooseEntry(last: string | undefined): EntryAddress | undefined {
		const ready = options.getReady();
		const others = ready.filter(entry => entry.name !== last);
		const candidates = others.length > 0 ? others : ready;
		return candidates[Math.floor(random() * candidates.length)];
	}

	async function call(number: number): Promise<void> {
		const id = `${options.prefix}-${number}`;
		let last: string | undefined;
		for (let sending = 1; sending <= sendingsAtMost; sending++) {
			const entry = chooseEntry(last);
			if (entry !== undefined) {
				last = entry.name;
				const sent = await sendOnce({
					agent, entry, service: options.service, token: id, key: options.isKeyed ? id : undefined, sendId: `${id}/${sending}`, headers: options.headers,
				});
				options.record(sent);
				if (sent.outcome === 'answered') {
					return;
				}
			}

			await delay(resendMilliseconds);
		}
	}

	function arrive(): void {
		if (isStopped) {
			return;
		}

		const done = call(next++).finally(() => {
			open.delete(done);
		});
		open.add(done);
		timer = setTimeout(arrive, -Math.log(1 - random()) * 1000 / options.rate);
	}

	arrive();
	return {
		async stop() {
			isStopped = true;
			clearTimeout(timer);
			await Promise.all(open);
			agent.destroy();
		},
	};
}
