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

/** A request that an upstream ran. */
export type Run = {readonly id: string; readonly path: string; readonly body: string; readonly at: number};

/** A running upstream. */
export type Upstream = {
	readonly id: string;
	readonly zone: string;
	readonly runs: Run[];
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

		if (running >= slots) {
			answer(request, response, 503, {'Not-Executed': '1'});
			return;
		}

		running++;
		const body = await readText(request);
		const requestId = String(request.headers['request-id']);
		runs.push({
			id: requestId, path: request.url ?? '', body: body ?? '', at: Date.now(),
		});
		await delay(options.workMilliseconds);
		running--;
		answer(request, response, 200, {'Upstream-Signature': `${id}.${requestId}`}, `body of ${requestId}`);
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
