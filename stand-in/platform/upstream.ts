/**
 * Stand-in of an upstream, which is a server in the terms of the platform's protocol: an HTTP server
 * with slots that reports its load in response headers, refuses requests for other instances, sends
 * heartbeats to a control host and can drain. It records the requests that it ran, for tests.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingHttpHeaders, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {callControl, readText} from './control-call.js';

const heartbeatIntervalMilliseconds = 300;
const normalSlownessPercent = 100;

/** Delay of a second response after the first, in milliseconds, so that the connection is idle again when it arrives. */
const secondResponseDelayMilliseconds = 5;

/** Request that an upstream ran. */
export type Run = {
	readonly id: string;
	readonly path: string;
	readonly body: string;
	readonly headers: IncomingHttpHeaders;
	readonly startedAt: number;
	/** Time at which the connection closed while the request was running, or undefined if it stayed open. */
	disconnectedAt: number | undefined;
};

/** Fault that an upstream simulates for a request. */
export type Fault
	/** Runs the request and resets the connection instead of responding. */
	= | 'lose-answer'
	/** Runs the request and resets the connection in the middle of the response body. */
		| 'break-off'
	/** Runs the request and resets the connection in the middle of a response body without a Content-Length. */
		| 'break-off-unmeasured'
	/** Runs the request, responds, and sends the same response again later. */
		| 'answer-twice'
	/** Refuses the request and reports that it was not executed. */
		| 'shed'
	/** Resets the connection without running the request. */
		| 'reset'
	/** Runs the request and responds with status 500, although the upstream reports itself healthy. */
		| 'fail';

/** Behaviour of an upstream towards requests. */
export type Behaviour = {
	/** Gets the fault to simulate for the next request, or undefined for none. */
	readonly getFault?: () => Fault | undefined;
	/** Service time of each request; defaults to the one in the options of the upstream. */
	readonly serviceMilliseconds?: number;
};

/** A running upstream. */
export type Upstream = {
	readonly id: string;
	readonly zone: string;
	/** Requests that the upstream ran, in the order in which they started. */
	readonly runs: Run[];
	/** Replaces the behaviour towards the next requests. */
	setBehaviour(behaviour: Behaviour): void;
	/** Reports the upstream as draining, and resolves when a control host has acknowledged the heartbeat. */
	drain(): Promise<void>;
	/** Closes all connections at once, without draining. */
	crash(): void;
	stop(): Promise<void>;
};

/** Options of an upstream. */
export type UpstreamOptions = {
	readonly id: string;
	readonly service: string;
	readonly host: string;
	readonly port: number;
	readonly zone: string;
	/** Maximum number of requests that run at once; further ones are refused. */
	readonly slots: number;
	/** Service time of each request, in milliseconds. */
	readonly serviceMilliseconds: number;
	/** Gets the addresses of the control hosts, as `host:port`. */
	getControlAddresses(): readonly string[];
};

/**
 * Starts an upstream.
 * @param options - Identity, address, and the control hosts that receive its heartbeats.
 */
export async function startUpstream(options: UpstreamOptions): Promise<Upstream> {
	const {id, service, zone, slots} = options;
	const instanceStartedAt = Date.now();
	const runs: Run[] = [];
	let sequence = 0;
	let state = 'ready';
	let running = 0;
	let isStopped = false;
	let controlIndex = 0;
	let behaviour: Behaviour = {};

	function respond(request: IncomingMessage, response: ServerResponse, status: number, headers: Readonly<Record<string, string>>, body = ''): void {
		const requestId = request.headers['request-id'];
		response.writeHead(status, {
			...headers, ...(typeof requestId === 'string' ? {'Request-Id': requestId} : {}), 'Upstream-Load': `${running},0,${slots},${normalSlownessPercent}`,
			'Content-Length': String(Buffer.byteLength(body)),
		});
		response.end(body);
	}

	async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url === '/healthz') {
			respond(request, response, state === 'ready' ? 200 : 503, {'Instance-Id': id});
			return;
		}

		const targetInstance = request.headers['target-instance'];
		if (targetInstance !== undefined && targetInstance !== id) {
			respond(request, response, 421, {'Instance-Id': id});
			return;
		}

		const fault = behaviour.getFault?.();
		if (running >= slots || fault === 'shed') {
			respond(request, response, 503, {'Not-Executed': '1'});
			return;
		}

		if (fault === 'reset') {
			request.socket.resetAndDestroy();
			return;
		}

		await run(request);
		sendRunResponse(request, response, fault);
	}

	/** Runs a request for its service time, and records whether its caller disconnects meanwhile. */
	async function run(request: IncomingMessage): Promise<void> {
		running++;
		const body = await readText(request);
		const recordedRun: Run = {
			id: String(request.headers['request-id']), path: request.url ?? '', body: body ?? '', headers: request.headers, startedAt: Date.now(), disconnectedAt: undefined,
		};
		runs.push(recordedRun);
		const recordDisconnect = (): void => {
			recordedRun.disconnectedAt = Date.now();
		};

		request.socket.once('close', recordDisconnect);
		await delay(behaviour.serviceMilliseconds ?? options.serviceMilliseconds);
		request.socket.off('close', recordDisconnect);
		running--;
	}

	function sendRunResponse(request: IncomingMessage, response: ServerResponse, fault: Exclude<Fault, 'shed' | 'reset'> | undefined): void {
		const requestId = String(request.headers['request-id']);
		const signature = {'Upstream-Signature': `${id}.${requestId}`};
		const body = `body of ${requestId}`;
		switch (fault) {
			case undefined: {
				respond(request, response, 200, signature, body);
				return;
			}

			case 'fail': {
				respond(request, response, 500, signature, 'failed');
				return;
			}

			case 'lose-answer': {
				request.socket.resetAndDestroy();
				return;
			}

			case 'break-off':
			case 'break-off-unmeasured': {
				const framingHeader = fault === 'break-off' ? `Content-Length: ${body.length}` : 'Connection: close';
				request.socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nUpstream-Signature: ${id}.${requestId}\r\n${framingHeader}\r\n\r\nbody`, () => {
					request.socket.resetAndDestroy();
				});
				return;
			}

			case 'answer-twice': {
				const responseText = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nUpstream-Signature: ${id}.${requestId}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
				request.socket.write(responseText);
				setTimeout(() => {
					request.socket.write(responseText);
				}, secondResponseDelayMilliseconds);
			}
		}
	}

	const server: Server = createServer((request, response) => {
		handle(request, response).catch(() => {
			response.destroy();
		});
	});
	server.listen(options.port, options.host);
	await once(server, 'listening');

	async function sendHeartbeat(): Promise<boolean> {
		const controlAddresses = options.getControlAddresses();
		sequence++;
		const body = JSON.stringify({
			service, address: `${options.host}:${options.port}`, zone, version: 'v1', slots, state, warmup_left_ms: 0, sequence, born: instanceStartedAt,
		});
		const {status} = await callControl(controlAddresses[controlIndex % controlAddresses.length]!, 'PUT', `/-/instances/${id}`, body);
		controlIndex += status === 200 ? 0 : 1;
		return status === 200;
	}

	async function sendHeartbeats(): Promise<void> {
		while (!isStopped) {
			await sendHeartbeat();
			await delay(heartbeatIntervalMilliseconds);
		}
	}

	void sendHeartbeats();
	return {
		id,
		zone,
		runs,
		setBehaviour(next) {
			behaviour = next;
		},
		async drain() {
			state = 'draining';
			while (!await sendHeartbeat()) {
				await delay(heartbeatIntervalMilliseconds);
			}
		},
		crash() {
			isStopped = true;
			server.close();
			server.closeAllConnections();
		},
		async stop() {
			isStopped = true;
			server.close();
			server.closeAllConnections();
		},
	};
}
