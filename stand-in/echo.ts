/** The smallest servers and the smallest proxy on Node's `http`, as baselines of measurements. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {
	Agent, createServer, request as startRequest, type Server,
} from 'node:http';
import {type AddressInfo} from 'node:net';

const host = '127.0.0.1';
const announceMilliseconds = 1000;

/** Options of an echo server. */
export type EchoOptions = {
	readonly service: string;
	readonly name: string;
	readonly zone: string;
	readonly slots: number;
	readonly announceTo: readonly string[];
};

async function listen(server: Server): Promise<number> {
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	return (server.address() as AddressInfo).port;
}

/**
 * Starts a server that answers at once.
 * @param options - Service, name and where to announce.
 */
export async function startEcho(options: EchoOptions): Promise<number> {
	const body = Buffer.alloc(256, 'tile ');
	const server = createServer({keepAliveTimeout: 60_000, noDelay: true}, (request, response) => {
		request.resume();
		response.writeHead(200, {'content-type': 'text/plain', 'content-length': body.length});
		response.end(body);
	});
	const port = await listen(server);
	const boot = randomUUID();
	async function announce(): Promise<void> {
		for (const target of options.announceTo) {
			try {
				await fetch(new URL('/v1/announce', target), {
					method: 'POST',
					body: JSON.stringify({
						service: options.service, name: options.name, host, port, zone: options.zone, slots: options.slots, connections: options.slots * 4, boot, state: 'warm',
					}),
				});
				return;
			} catch {
				// The next announcement may find a control host.
			}
		}
	}

	setInterval(() => {
		void announce();
	}, announceMilliseconds);
	await announce();
	return port;
}

/**
 * Starts the smallest pass-through proxy.
 * @param ports - Ports of the servers, which take turns.
 */
export async function startBareProxy(ports: readonly number[]): Promise<number> {
	const agent = new Agent({keepAlive: true});
	let turn = 0;
	const server = createServer({keepAliveTimeout: 60_000, noDelay: true}, (request, response) => {
		const port = ports[turn++ % ports.length]!;
		const forwarded = startRequest({
			host, port, agent, method: request.method, path: request.url, headers: request.headers,
		}, answer => {
			response.writeHead(answer.statusCode ?? 502, answer.headers);
			answer.pipe(response);
		});
		forwarded.on('error', () => {
			response.destroy();
		});
		request.pipe(forwarded);
	});
	return listen(server);
}
