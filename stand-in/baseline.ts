/** Minimal server and pass-through proxy on Node's `http` module, as baselines for benchmarks. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {
	Agent, createServer, request as startRequest, type Server,
} from 'node:http';
import {type AddressInfo} from 'node:net';

const host = '127.0.0.1';
const announceIntervalMilliseconds = 1000;

/** Options of `startBaselineServer`. */
export type BaselineServerOptions = {
	readonly service: string;
	readonly name: string;
	readonly zone: string;
	readonly slots: number;
	/** Base addresses to which announcements are sent, in order of preference. */
	readonly announceTo: readonly string[];
};

async function listen(server: Server): Promise<number> {
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	return (server.address() as AddressInfo).port;
}

/**
 * Starts a server that responds immediately with a fixed body; resolves to its port.
 * @param options - Identity of the server and announcement addresses.
 */
export async function startBaselineServer(options: BaselineServerOptions): Promise<number> {
	const body = Buffer.alloc(256, 'tile ');
	const server = createServer({keepAliveTimeout: 60_000, noDelay: true}, (request, response) => {
		request.resume();
		response.writeHead(200, {'content-type': 'text/plain', 'content-length': body.length});
		response.end(body);
	});
	const port = await listen(server);
	const bootId = randomUUID();
	async function announce(): Promise<void> {
		for (const address of options.announceTo) {
			try {
				await fetch(new URL('/v1/announce', address), {
					method: 'POST',
					body: JSON.stringify({
						service: options.service, name: options.name, host, port, zone: options.zone, slots: options.slots, connections: options.slots * 4, boot: bootId, state: 'warm',
					}),
				});
				return;
			} catch {
				// Try the next address; the announcement is repeated after the interval in any case.
			}
		}
	}

	setInterval(() => {
		void announce();
	}, announceIntervalMilliseconds);
	await announce();
	return port;
}

/**
 * Starts a minimal pass-through proxy; resolves to its port.
 * @param ports - Ports of the servers, to which requests are forwarded in turn.
 */
export async function startBaselineProxy(ports: readonly number[]): Promise<number> {
	const agent = new Agent({keepAlive: true});
	let nextPortIndex = 0;
	const server = createServer({keepAliveTimeout: 60_000, noDelay: true}, (request, response) => {
		const port = ports[nextPortIndex++ % ports.length]!;
		const forwardedRequest = startRequest({
			host, port, agent, method: request.method, path: request.url, headers: request.headers,
		}, serverResponse => {
			response.writeHead(serverResponse.statusCode ?? 502, serverResponse.headers);
			serverResponse.pipe(response);
		});
		forwardedRequest.on('error', () => {
			response.destroy();
		});
		request.pipe(forwardedRequest);
	});
	return listen(server);
}
