/** Test bed for the API of a control host: serves it on loopback, with a test in place of the leader. */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {
	createConnectionTimes, createRepeatedOrders, createZoneOrderLog, type Api, type ApiOptions, type Submit,
} from '../../source/control/index.js';
import {createLog} from '../../source/telemetry/index.js';

/** A served API. */
export type ControlApiBed = {
	readonly host: string;
	readonly port: number;
	stop(): void;
};

const loopback = '127.0.0.1';

/**
 * Serves an API.
 * @param createApi - Creates the API.
 * @param submit - Responds to requests to the leader.
 */
export async function startControlApiBed(createApi: (options: ApiOptions) => Api, submit: Submit): Promise<ControlApiBed> {
	const log = createLog('test', 'fatal');
	const connectionTimes = createConnectionTimes(() => performance.now());
	const api = createApi({
		log,
		operatorKey: undefined,
		submit,
		zoneOrderLog: createZoneOrderLog({
			log, host: 'one', submit, countOrder: () => undefined, getTime: () => 0,
		}),
		repeatedOrders: createRepeatedOrders(),
		getConnectedAt: connectionTimes.get,
		hasStalledRecently: () => false,
		getBurnSummary: () => undefined,
		getMetrics: async () => '',
		isReady: () => true,
		getBoot: () => undefined,
		getLeaderHost: () => undefined,
	});
	const server = createServer((request, response) => {
		void api(request, response);
	});
	connectionTimes.watch(server);
	server.listen(0, loopback);
	await once(server, 'listening');
	const {port} = server.address() as {readonly port: number};
	return {
		host: loopback,
		port,
		stop() {
			server.close();
		},
	};
}
