/**
 * Upstream of a run: an HTTP server that writes its responses to the socket itself, so that it can send a response twice, in pieces,
 * or not to its end. It records the requests that reach it and the responses that it makes, and sends heartbeats.
 */
import {once} from 'node:events';
import {createServer, type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type Random} from '../source/randomness/index.js';
import {callControl, readText} from '../stand-in/platform/control-call.js';
import {abortConnection} from './abort-connection.js';
import {digestBody, type Arrival, type History} from './history.js';
import {chooseManner, type Manner, type Temper} from './manner.js';
import {renderResponse, type Framing} from './response.js';
import {createWriter} from './writer.js';

const heartbeatIntervalMilliseconds = 300;
const slotCount = 16;
const bodySizes = [0, 24, 24, 300, 300, 5000, 5000, 70_000, 600_000];
const longestServiceMilliseconds = 12;
const slowServiceMilliseconds = 300;

/** Pause that an upstream asks for with each refusal while it pauses. */
const pauseMilliseconds = 1500;
const millisecondsPerSecond = 1000;

/** Framings of the manners whose bodies are not framed by their length. */
const framings: Readonly<Partial<Record<Manner, Framing>>> = {
	chunked: 'chunks', 'break-off-chunked': 'chunks', 'until-close': 'close', 'break-off-until-close': 'close',
};

/** Withdrawal that an upstream states in its responses. */
export type Withdrawal = 'leaving' | 'pausing';

/** An upstream that is running. */
export type Upstream = {
	readonly name: string;
	/** Ends the upstream at once, with all of its connections. */
	crash(): void;
	/** Starts the upstream again as a new instance. */
	restart(): Promise<void>;
	/** Makes the upstream state in its responses that it leaves, or refuse all requests and ask for pauses; undefined ends that. */
	setWithdrawal(withdrawal: Withdrawal | undefined): void;
	/** Makes every response a plain one from now on, or ends that. */
	setPlain(isPlain: boolean): void;
	stop(): void;
};

/** Options of `startUpstream`. */
export type UpstreamOptions = {
	readonly name: string;
	readonly zone: string;
	readonly host: string;
	readonly port: number;
	/** Address that the heartbeats report, as `host:port`. */
	readonly advertisedAddress: string;
	readonly controlAddresses: readonly string[];
	readonly temper: Temper;
	readonly history: History;
	readonly random: Random;
};

/**
 * Starts an upstream.
 * @param options - Identity, addresses and temper.
 */
export async function startUpstream(options: UpstreamOptions): Promise<Upstream> {
	const {name, zone, history, random} = options;
	let id = name;
	let instanceCount = 1;
	let bornAt = Date.now();
	let sequence = 0;
	let isUp = true;
	const writer = createWriter(random);
	let answerCount = 0;
	let running = 0;
	let isStopped = false;
	let isPlain = false;
	let withdrawal: Withdrawal | undefined;

	function getLeavingHeaders(): Readonly<Record<string, string>> {
		return withdrawal === 'leaving' ? {'Server-Leaving': '1'} : {};
	}

	/** Writes a response, and what the upstream's manner adds to it. */
	async function respond(request: IncomingMessage, status: number, manner: Manner, headers: Readonly<Record<string, string>> = {}): Promise<void> {
		const {socket, method} = request;
		const requestId = String(request.headers['request-id'] ?? '');
		const signature = `${name}.${requestId}.${++answerCount}`;
		const body = status === 204 ? '' : `${signature}|`.padEnd(bodySizes[Math.floor(random() * bodySizes.length)]!, signature);
		const isSigned = headers['Not-Executed'] === undefined;
		if (isSigned) {
			history.answers.push({
				id: requestId, upstream: name, signature, status, digest: digestBody(method === 'HEAD' ? '' : body), manner, ...(withdrawal === 'leaving' ? {leavingInstance: id} : {}),
			});
		}

		const response = renderResponse({
			status,
			framing: framings[manner] ?? 'length',
			body,
			hasContent: method !== 'HEAD' && status !== 204,
			headers: {
				...headers,
				...getLeavingHeaders(),
				'Request-Id': requestId,
				...(isSigned ? {'Upstream-Signature': signature} : {}),
				...(manner === 'last' ? {Connection: 'close'} : {}),
				'Upstream-Load': `${running},0,${slotCount},100`,
			},
		});
		await writer.write(socket, manner, response);
	}

	async function handle(request: IncomingMessage): Promise<void> {
		const requestId = request.headers['request-id'];
		if (typeof requestId !== 'string') {
			request.resume();
			request.socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${id}\r\nUpstream-Load: ${running},0,${slotCount},100\r\nContent-Length: 0\r\n\r\n`);
			return;
		}

		const targetInstance = request.headers['target-instance'];
		if (targetInstance !== undefined && targetInstance !== id) {
			request.resume();
			await respond(request, 421, 'plain', {'Not-Executed': '1'});
			return;
		}

		const arrival: Arrival = {
			id: requestId, upstream: name, instance: id, zone, at: history.now(), isRun: false,
		};
		history.arrivals.push(arrival);
		if (withdrawal === 'pausing') {
			request.resume();
			await respond(request, 503, 'shed', {'Not-Executed': '1', 'Retry-After': String(pauseMilliseconds / millisecondsPerSecond)});
			history.pauses.push({
				id: requestId, upstream: name, instance: id, at: history.now(), milliseconds: pauseMilliseconds,
			});
			return;
		}

		const manner = isPlain ? 'plain' : chooseManner(options.temper, random);
		if (manner === 'reset') {
			abortConnection(request.socket);
			return;
		}

		if (running >= slotCount || manner === 'shed' || manner === 'shed-stutter') {
			request.resume();
			await respond(request, 503, manner === 'shed-stutter' ? manner : 'shed', {'Not-Executed': '1'});
			return;
		}

		arrival.isRun = true;
		running++;
		await readText(request);
		await delay(random() * (manner === 'slow' ? slowServiceMilliseconds : longestServiceMilliseconds));
		running--;
		const isFailure = manner === 'fail' || manner === 'fail-stutter';
		await respond(request, isFailure ? 500 : (request.url?.startsWith('/look/empty') ? 204 : 200), manner);
	}

	const server = createServer(request => {
		void handle(request);
	});
	const sockets = new Set<Socket>();
	server.on('connection', socket => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		socket.on('error', () => {
			socket.destroy();
		});
	});
	server.keepAliveTimeout = 0;

	async function listen(): Promise<void> {
		server.listen(options.port, options.host);
		await once(server, 'listening');
	}

	await listen();

	async function sendHeartbeats(): Promise<void> {
		let controlIndex = Math.floor(random() * options.controlAddresses.length);
		while (!isStopped) {
			await delay(heartbeatIntervalMilliseconds);
			if (!isUp) {
				continue;
			}

			sequence++;
			const address = options.controlAddresses[controlIndex % options.controlAddresses.length]!;
			const {status} = await callControl(address, 'PUT', `/-/instances/${id}`, JSON.stringify({
				service: 'stock', address: options.advertisedAddress, zone, version: 'v1', slots: slotCount, state: 'ready', warmup_left_ms: 0, sequence, born: bornAt,
			}));
			controlIndex += status === 200 ? 0 : 1;
		}
	}

	void sendHeartbeats();
	function close(): void {
		isUp = false;
		server.close();
		for (const socket of sockets) {
			abortConnection(socket);
		}
	}

	return {
		name,
		crash: close,
		async restart() {
			instanceCount++;
			id = `${name}-${instanceCount}`;
			bornAt = Date.now();
			sequence = 0;
			withdrawal = undefined;
			await listen();
			isUp = true;
		},
		setWithdrawal(next) {
			withdrawal = next;
		},
		setPlain(next) {
			isPlain = next;
		},
		stop() {
			isStopped = true;
			close();
		},
	};
}
