/**
 * An upstream as the platform's page on its protocol describes it: slots and a short queue,
 * load on its answers, one incarnation that only runs what is meant for it, heartbeats to
 * any control host, and a leave in order. What it ran is kept for the tests.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, request as startRequest, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

const beatMilliseconds = 300;
const callMilliseconds = 1000;
const usualSlowness = 100;

/** Time after an answer at which surplus bytes follow, in milliseconds: the connection is idle again by then. */
const surplusMilliseconds = 5;

/** A request that an upstream ran. */
export type Run = {
	readonly id: string;
	readonly path: string;
	readonly body: string;
	readonly at: number;
	/** Time at which its connection closed while the upstream worked on it, if it did. */
	leftAt: number | undefined;
};

/** What an upstream does with a request that it takes, beside its work. */
export type Fault
	/** Runs it, then resets the connection in place of an answer. */
	= | 'lose-answer'
	/** Runs it, and breaks the answer off amid its body. */
		| 'break-off'
	/** The same, in an answer without a length. */
		| 'break-off-unmeasured'
	/** Runs it, answers, and sends a second answer to it later. */
		| 'answer-twice'
	/** Says that it has not run it, and does not. */
		| 'shed'
	/** Resets the connection without running it. */
		| 'reset'
	/** Fails although its health is good. */
		| 'fail';

/** How an upstream treats requests. */
export type Behaviour = {
	/** Gets the fault of the next request, if it meets one. */
	readonly getFault?: () => Fault | undefined;
	readonly workMilliseconds?: number;
};

/** A running upstream. */
export type Upstream = {
	readonly id: string;
	readonly zone: string;
	readonly runs: Run[];
	/** Sets which fault the next requests meet, and how long work takes. */
	behave(behaviour: Behaviour): void;
	/** Gets when the next heartbeat says that it drains, and resolves when that is acknowledged. */
	drain(): Promise<void>;
	/** Ends without a word. */
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
	readonly slots: number;
	readonly workMilliseconds: number;
	/** Addresses of control hosts, `host:port`. */
	getControl(): readonly string[];
};

/** Reads a whole body as text, or undefined where it broke off. */
export async function readText(message: IncomingMessage): Promise<string | undefined> {
	const chunks: Buffer[] = [];
	try {
		for await (const chunk of message as AsyncIterable<Buffer>) {
			chunks.push(chunk);
		}

		return Buffer.concat(chunks).toString('utf8');
	} catch {
		return undefined;
	}
}

/** Calls a control host and resolves to the status, 0 when it does not answer in time. */
export async function callControl(address: string, method: string, path: string, body?: string): Promise<{readonly status: number; readonly text: string}> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const request = startRequest({
			host, port: Number(port), method, path, agent: false, timeout: callMilliseconds, headers: body === undefined ? {} : {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)},
		}, answer => {
			void readText(answer).then(text => {
				resolve({status: text === undefined ? 0 : answer.statusCode ?? 0, text: text ?? ''});
			});
		});
		request.once('timeout', () => {
			request.destroy();
		});
		request.once('error', () => {
			resolve({status: 0, text: ''});
		});
		request.end(body);
	});
}

/**
 * Starts an upstream.
 * @param options - Identity, address and the control hosts that it tells.
 */
export async function startUpstream(options: UpstreamOptions): Promise<Upstream> {
	const {id, service, zone, slots} = options;
	const born = Date.now();
	const runs: Run[] = [];
	let sequence = 0;
	let state = 'ready';
	let running = 0;
	let isEnded = false;
	let turn = 0;
	let behaviour: Behaviour = {};

	function answer(request: IncomingMessage, response: ServerResponse, status: number, headers: Readonly<Record<string, string>>, body = ''): void {
		const requestId = request.headers['request-id'];
		response.writeHead(status, {
			...headers, ...(typeof requestId === 'string' ? {'Request-Id': requestId} : {}), 'Upstream-Load': `${running},0,${slots},${usualSlowness}`, 'Content-Length': String(Buffer.byteLength(body)),
		});
		response.end(body);
	}

	async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url === '/healthz') {
			answer(request, response, state === 'ready' ? 200 : 503, {'Instance-Id': id});
			return;
		}

		const meant = request.headers['target-instance'];
		if (meant !== undefined && meant !== id) {
			answer(request, response, 421, {'Instance-Id': id});
			return;
		}

		const fault = behaviour.getFault?.();
		if (running >= slots || fault === 'shed') {
			answer(request, response, 503, {'Not-Executed': '1'});
			return;
		}

		if (fault === 'reset') {
			request.socket.resetAndDestroy();
			return;
		}

		await run(request);
		answerRun(request, response, fault);
	}

	/** Works on a request, and notes when its caller leaves meanwhile. */
	async function run(request: IncomingMessage): Promise<void> {
		running++;
		const body = await readText(request);
		const noted: Run = {
			id: String(request.headers['request-id']), path: request.url ?? '', body: body ?? '', at: Date.now(), leftAt: undefined,
		};
		runs.push(noted);
		const noteLeft = (): void => {
			noted.leftAt = Date.now();
		};

		request.socket.once('close', noteLeft);
		await delay(behaviour.workMilliseconds ?? options.workMilliseconds);
		request.socket.off('close', noteLeft);
		running--;
	}

	function answerRun(request: IncomingMessage, response: ServerResponse, fault: Exclude<Fault, 'shed' | 'reset'> | undefined): void {
		const requestId = String(request.headers['request-id']);
		const signature = {'Upstream-Signature': `${id}.${requestId}`};
		const body = `body of ${requestId}`;
		switch (fault) {
			case undefined: {
				answer(request, response, 200, signature, body);
				return;
			}

			case 'fail': {
				answer(request, response, 500, signature, 'failed');
				return;
			}

			case 'lose-answer': {
				request.socket.resetAndDestroy();
				return;
			}

			case 'break-off':
			case 'break-off-unmeasured': {
				const length = fault === 'break-off' ? `Content-Length: ${body.length}` : 'Connection: close';
				request.socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nUpstream-Signature: ${id}.${requestId}\r\n${length}\r\n\r\nbody`, () => {
					request.socket.resetAndDestroy();
				});
				return;
			}

			case 'answer-twice': {
				const whole = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nUpstream-Signature: ${id}.${requestId}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
				request.socket.write(whole);
				setTimeout(() => {
					request.socket.write(whole);
				}, surplusMilliseconds);
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

	async function beat(): Promise<boolean> {
		const control = options.getControl();
		sequence++;
		const body = JSON.stringify({
			service, address: `${options.host}:${options.port}`, zone, version: 'v1', slots, state, warmup_left_ms: 0, sequence, born,
		});
		const {status} = await callControl(control[turn % control.length]!, 'PUT', `/-/instances/${id}`, body);
		turn += status === 200 ? 0 : 1;
		return status === 200;
	}

	async function keepBeating(): Promise<void> {
		while (!isEnded) {
			await beat();
			await delay(beatMilliseconds);
		}
	}

	void keepBeating();
	return {
		id,
		zone,
		runs,
		behave(next) {
			behaviour = next;
		},
		async drain() {
			state = 'draining';
			while (!await beat()) {
				await delay(beatMilliseconds);
			}
		},
		crash() {
			isEnded = true;
			server.close();
			server.closeAllConnections();
		},
		async stop() {
			isEnded = true;
			server.close();
			server.closeAllConnections();
		},
	};
}
