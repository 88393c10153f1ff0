/** HTTP server that can crash and start again on the same port. */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

const keepAliveMilliseconds = 20_000;

/** Time that requests in flight have when the server stops. */
const stopMilliseconds = 500;

/** A listener, which may be down. */
export type RestartableListener = {
	/** Starts to listen; a second time on the port of the first. */
	start(): Promise<void>;
	/** Stops listening immediately and resets every connection. */
	crash(): void;
	/** Stops listening and closes the connections, those with requests in flight after a grace period. */
	stop(): Promise<void>;
	getPort(): number;
	isUp(): boolean;
};

/** Options of `createRestartableListener`. */
export type RestartableListenerOptions = {
	readonly host: string;
	/** Port to listen on, 0 for any. */
	readonly port: number;
	handle(request: IncomingMessage, response: ServerResponse): void;
};

/**
 * Creates a listener that is down.
 * @param options - Address and handler of requests.
 */
export function createRestartableListener(options: RestartableListenerOptions): RestartableListener {
	const sockets = new Set<Socket>();
	let {port} = options;
	let isUp = false;
	let server = createHttpServer();

	function createHttpServer(): ReturnType<typeof createServer> {
		const httpServer = createServer({keepAliveTimeout: keepAliveMilliseconds, noDelay: true}, options.handle);
		httpServer.on('connection', socket => {
			sockets.add(socket);
			socket.once('close', () => {
				sockets.delete(socket);
			});
			socket.on('error', () => {
				socket.destroy();
			});
		});
		return httpServer;
	}

	return {
		async start() {
			server = createHttpServer();
			await new Promise<void>((resolve, reject) => {
				server.once('error', reject);
				server.listen(port, options.host, resolve);
			});
			port = (server.address() as AddressInfo).port;
			isUp = true;
		},
		crash() {
			isUp = false;
			server.close();
			for (const socket of sockets) {
				socket.resetAndDestroy();
			}
		},
		async stop() {
			isUp = false;
			const closed = new Promise(resolve => {
				server.close(resolve);
			});
			server.closeIdleConnections();
			await Promise.race([closed, delay(stopMilliseconds)]);
			server.closeAllConnections();
		},
		getPort: () => port,
		isUp: () => isUp,
	};
}
