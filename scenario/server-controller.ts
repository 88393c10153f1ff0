/** Starts the stand-in servers of a scenario, and makes them leave, crash, restart and drain. */
import {getFreePort, type Cluster} from '../stand-in/cluster.js';
import {startStandIn, type RequestRecord, type StandIn} from '../stand-in/index.js';
import {type Departure} from './history.js';
import {type ServiceDefinition} from './options.js';
import {type Statement} from './statement.js';

/** Maximum number of connections that each server announces. */
const connectionLimit = 250;

/** Controls the servers of a scenario. */
export type ServerController = {
	/** Starts the servers of all services, distributed over the zones in turn. */
	start(services: readonly ServiceDefinition[], zones: readonly string[], seed: number): Promise<void>;
	run(statement: Extract<Statement, {readonly kind: 'server'}>): Promise<void>;
	getOrThrow(name: string): StandIn;
	/** Gets the servers of a service, in the order of their numbers. */
	getServers(service: string): readonly StandIn[];
	getCount(): number;
	stop(): Promise<void>;
};

/** Options of `createServerController`. */
export type ServerControllerOptions = {
	getCluster(): Cluster;
	/** Records a request or a probe that a server received. */
	recordRequest(record: RequestRecord): void;
	recordDeparture(departure: Departure): void;
};

/**
 * Creates a controller without servers.
 * @param options - Cluster, and recorders of requests and departures.
 */
export function createServerController(options: ServerControllerOptions): ServerController {
	const {getCluster} = options;
	const servers = new Map<string, StandIn>();

	function getOrThrow(name: string): StandIn {
		const server = servers.get(name);
		if (server === undefined) {
			throw new Error(`unknown server "${name}"`);
		}

		return server;
	}

	function getService(server: StandIn): string {
		return server.name.replace(/-\d+$/v, '');
	}

	function recordDeparture(server: string, acceptedAt: number): void {
		options.recordDeparture({
			zone: undefined, server, acceptedAt, returnedAt: Number.POSITIVE_INFINITY,
		});
	}

	/** Drains a server through the operators' API. */
	async function drain(server: StandIn): Promise<void> {
		const key = `${getService(server)}/${server.name}`;
		const status = await getCluster().getStatus();
		const boot = status?.servers.find(candidate => candidate.key === key)?.boot;
		const response = await getCluster().callApi('POST', '/v1/servers/drain', {key, boot});
		if (response?.status !== 200) {
			throw new Error(`${key} could not be drained: ${JSON.stringify(response)}`);
		}

		recordDeparture(server.name, Date.now());
	}

	return {
		async start(services, zones, seed) {
			const announceTo = [...getCluster().entries, ...getCluster().controls].map(member => `http://127.0.0.1:${member.adminPort}`);
			for (const service of services) {
				for (let number = 1; number <= service.serverCount; number++) {
					const name = `${service.name}-${number}`;
					servers.set(name, await startStandIn({
						service: service.name,
						name,
						zone: zones[(number - 1) % zones.length]!,
						host: '127.0.0.1',
						port: await getFreePort(),
						connections: connectionLimit,
						behaviour: {isCold: true, requestsPerColdSlot: 1 / service.easingGrowth, ...service.behaviour},
						announceTo,
						seed: seed + number,
						record: options.recordRequest,
					}));
				}
			}
		},
		async run(statement) {
			const server = getOrThrow(statement.server);
			switch (statement.verb) {
				case 'leave': {
					const leaveRequestedAt = Date.now();
					await server.leave();
					recordDeparture(server.name, leaveRequestedAt);
					return;
				}

				case 'crash': {
					server.crash();
					return;
				}

				case 'restart': {
					await server.restart();
					return;
				}

				case 'drain': {
					await drain(server);
				}
			}
		},
		getOrThrow,
		getServers: service => [...servers.values()].filter(server => getService(server) === service),
		getCount: () => servers.size,
		async stop() {
			await Promise.all([...servers.values()].map(async server => server.stop()));
		},
	};
}
