/** HTTP server of the API of a control host. */
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {type Log} from '../telemetry/index.js';
import {listen} from '../wire/index.js';
import {type Api} from './api.js';
import {type ConnectionTimes} from './connection-times.js';
import {handleSafely} from './http.js';

const requestCheckIntervalMilliseconds = 10;

/** A running server of the API. */
export type ApiServer = {
	readonly port: number;
	/** Stops to accept connections, waits for the requests in progress and closes all connections. */
	stop(): Promise<void>;
};

/** Options of `startApiServer`. */
export type ApiServerOptions = {
	readonly log: Log;
	readonly api: Api;
	readonly address: {readonly host: string; readonly port: number};
	readonly connectionTimes: ConnectionTimes;
	/** Maximum duration of a request; a stop does not wait longer. */
	readonly maximumRequestMilliseconds: number;
};

/**
 * Starts the server.
 * @param options - API and address.
 */
export async function startApiServer(options: ApiServerOptions): Promise<ApiServer> {
	const {
		log, api, address, connectionTimes, maximumRequestMilliseconds,
	} = options;
	let openRequests = 0;
	const server = createServer((request, response) => {
		openRequests++;
		response.once('close', () => {
			openRequests--;
		});
		void handleSafely({log, request, response}, api);
	});
	connectionTimes.watch(server);
	const port = await listen(server, {setting: 'api', ...address});

	async function waitForRequests(): Promise<void> {
		const until = performance.now() + maximumRequestMilliseconds;
		while (openRequests > 0 && performance.now() < until) {
			await delay(requestCheckIntervalMilliseconds);
		}
	}

	return {
		port,
		async stop() {
			const closed = new Promise(resolve => {
				server.close(resolve);
			});
			await waitForRequests();
			// The remaining connections are idle, or their requests exceeded the time limit.
			server.closeAllConnections();
			await closed;
		},
	};
}
