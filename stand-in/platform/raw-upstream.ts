/** Stand-in of an upstream whose responses a test determines down to single bytes. Health checks get an ordinary response. */
import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {readHeads, type ReceivedRequest} from '../entry-bed.js';
import {callControl} from './control-call.js';

const heartbeatIntervalMilliseconds = 300;

/** Bytes on a connection that ordinary responses do not come to. */
const floodBytes = 200_000;

/** A running raw upstream. */
export type RawUpstream = {
	/** Gets the number of open connections on which more was written than ordinary responses. */
	getFloodCount(): number;
	/** Takes the upstream out of service, and closes its connections. */
	stop(): Promise<void>;
};

/** Options of a raw upstream. */
export type RawUpstreamOptions = {
	readonly id: string;
	readonly service: string;
	readonly host: string;
	readonly port: number;
	readonly zone: string;
	readonly slots: number;
	/** Gets the addresses of the control hosts, as `host:port`. */
	getControlAddresses(): readonly string[];
	/** Responds to a request with raw bytes on its connection. */
	respond(request: ReceivedRequest): void;
	/** Responds to a health check; by default with status 200. */
	respondToProbe?(request: ReceivedRequest): void;
};

/**
 * Renders a complete response without a body.
 * @param request - Request to which it belongs.
 */
export function renderEmptyResponse({headers}: ReceivedRequest): string {
	return `HTTP/1.1 200 OK\r\nrequest-id: ${headers['request-id'] ?? ''}\r\nupstream-signature: one\r\nupstream-load: 0,0,1000,100\r\ncontent-length: 0\r\n\r\n`;
}

/**
 * Starts a raw upstream, and resolves when a control host has acknowledged its first heartbeat.
 * @param options - Identity, address, control hosts and responses.
 */
export async function startRawUpstream(options: RawUpstreamOptions): Promise<RawUpstream> {
	const {id, service, host, port, zone, slots} = options;
	const sockets = new Set<Socket>();
	const born = Date.now();
	let sequence = 0;
	let isStopped = false;

	const server = createServer(socket => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		readHeads(socket, request => {
			if (request.target !== '/healthz') {
				options.respond(request);
			} else if (options.respondToProbe === undefined) {
				socket.write(renderEmptyResponse(request));
			} else {
				options.respondToProbe(request);
			}
		});
	});
	server.listen(port, host);
	await once(server, 'listening');

	async function sendHeartbeat(state: 'ready' | 'draining'): Promise<boolean> {
		sequence++;
		const body = JSON.stringify({
			service, address: `${host}:${port}`, zone, version: 'v1', slots, state, warmup_left_ms: 0, sequence, born,
		});
		const {status} = await callControl(options.getControlAddresses()[0]!, 'PUT', `/-/instances/${id}`, body);
		return status === 200;
	}

	async function sendHeartbeats(): Promise<void> {
		while (!isStopped) {
			await sendHeartbeat('ready');
			await delay(heartbeatIntervalMilliseconds);
		}
	}

	while (!await sendHeartbeat('ready')) {
		await delay(heartbeatIntervalMilliseconds);
	}

	void sendHeartbeats();
	return {
		getFloodCount: () => [...sockets].filter(socket => socket.bytesWritten > floodBytes).length,
		async stop() {
			isStopped = true;
			await sendHeartbeat('draining');
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
