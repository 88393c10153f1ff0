/**
 * Queries servers for their load just before a request is sent, over dedicated
 * connections. A server that does not reply in time is not selected for the request,
 * and its connection is closed after a longer timeout.
 */
import {Agent} from 'node:http';
import {connect, type Socket, type TcpNetConnectOpts} from 'node:net';
import {getExpectedSlowdown, type Candidate, type LoadReading} from '../../choice/index.js';
import {discardBody} from '../../bytes/index.js';
import {type Dialect, type ServerReport} from '../dialect.js';
import {isWellFormedHead} from '../http/index.js';
import {guardIdleSockets} from './idle-sockets.js';
import {startServerRequest} from './server-request.js';

/** Time after which a query counts as lost and its connection is closed. */
const queryTimeoutMilliseconds = 400;

/** Limits of the body of a reply, which is not used. */
const responseLimits = {maximumBytes: 16_384, maximumMilliseconds: queryTimeoutMilliseconds};

/** Maximum number of query connections to one server. */
const connectionsPerServer = 2;

/** Factor for the slowness of a server that reports itself unhealthy; others are preferred, but the report may be false. */
const unhealthySlownessFactor = 4;

function getReading({load}: ServerReport, isHealthy: boolean): LoadReading | undefined {
	return load === undefined || isHealthy ? load : {...load, slowness: load.slowness * unhealthySlownessFactor};
}

/** Candidate with the load that it reported. */
export type CandidateReading = {readonly candidate: Candidate; readonly reading: LoadReading};

/** Load query to several candidates. */
export type LoadQuery = {
	readonly candidates: readonly Candidate[];
	readonly waitMilliseconds: number;
	/** Checks whether a reading is good enough to stop waiting for the others. */
	isSufficient(candidate: Candidate, reading: LoadReading): boolean;
	/** Called with the readings as soon as one is sufficient, all have arrived or the wait is over, in order of expected slowdown. */
	onReadings(readings: readonly CandidateReading[]): void;
};

/** Queries servers for their load. */
export type LoadQuerier = {
	/** Sends a query; the returned function cancels it. */
	query(query: LoadQuery): () => void;
	close(): void;
};

/** Options of a load querier. */
export type LoadQuerierOptions = {
	readonly dialect: Dialect;
	/** Gets the path at which the servers of a service report their load. */
	getPath(service: string): string;
	/** Called with the status that a server reports. */
	onReport(candidate: Candidate, report: ServerReport): void;
	/** Called with a candidate that did not reply. */
	onMiss(candidate: Candidate): void;
	/** Called with whether a query to one server succeeded. */
	onResult(isSuccess: boolean): void;
	/** Called with each new connection, and the availability zone of its server. */
	onConnect?(socket: Socket, zone: string): void;
};

/** Options of Node's agent for a new connection, with the zone that the request was started with. */
type ConnectionOptions = TcpNetConnectOpts & {readonly serverZone: string};

/**
 * Creates a load querier.
 * @param options - Dialect, paths and event callbacks.
 */
export function createLoadQuerier(options: LoadQuerierOptions): LoadQuerier {
	const agent = new Agent({
		keepAlive: true, maxSockets: connectionsPerServer, maxFreeSockets: connectionsPerServer, scheduling: 'lifo',
	});
	guardIdleSockets(agent);
	Object.assign(agent, {
		createConnection(connectionOptions: ConnectionOptions): Socket {
			const socket = connect(connectionOptions);
			options.onConnect?.(socket, connectionOptions.serverZone);
			return socket;
		},
	});

	function queryOne(candidate: Candidate, onReading: (reading: LoadReading | undefined) => void): void {
		const {
			host, port, service, name, zone,
		} = candidate.getAnnouncement();
		let isEnded = false;
		function end(reading: LoadReading | undefined): void {
			if (!isEnded) {
				isEnded = true;
				clearTimeout(timer);
				options.onResult(reading !== undefined);
				onReading(reading);
			}
		}

		const headers = options.dialect.serverHeader === undefined ? {} : {[options.dialect.serverHeader]: name};
		const started = startServerRequest({
			host, port, path: options.getPath(service), method: 'GET', agent, headers, serverZone: zone,
		});
		const timer = setTimeout(() => {
			started.map(request => request.destroy());
		}, queryTimeoutMilliseconds);
		if (started.isErr) {
			setImmediate(end, undefined);
			return;
		}

		const request = started.value;
		// Connections of HTTP/1.1 persist unless a header says otherwise, so the header that Node adds has no use.
		request.removeHeader('connection');
		request.once('response', response => {
			discardBody(response, responseLimits);
			if (!isWellFormedHead(response)) {
				end(undefined);
				return;
			}

			const report = options.dialect.getReport(response.headers, response.statusCode ?? 0);
			if (report.server !== undefined && report.server !== name) {
				// Another server has taken over the address, so its report does not apply to the candidate.
				end(undefined);
				return;
			}

			options.onReport(candidate, report);
			end(getReading(report, response.statusCode === 200));
		});
		request.once('error', () => {
			end(undefined);
		});
		request.once('close', () => {
			end(undefined);
		});
		request.end();
	}

	return {
		query(loadQuery) {
			const readings: CandidateReading[] = [];
			let pendingCount = loadQuery.candidates.length;
			let isFinished = false;
			function finish(): void {
				if (!isFinished) {
					isFinished = true;
					clearTimeout(timer);
					loadQuery.onReadings(readings.toSorted((one, other) => getExpectedSlowdown(one.reading) - getExpectedSlowdown(other.reading)));
				}
			}

			const timer = setTimeout(finish, loadQuery.waitMilliseconds);
			for (const candidate of loadQuery.candidates) {
				queryOne(candidate, reading => {
					pendingCount--;
					if (reading === undefined) {
						options.onMiss(candidate);
					}

					if (reading !== undefined) {
						readings.push({candidate, reading});
					}

					if (pendingCount === 0 || (reading !== undefined && loadQuery.isSufficient(candidate, reading))) {
						finish();
					}
				});
			}

			return () => {
				isFinished = true;
				clearTimeout(timer);
			};
		},
		close() {
			agent.destroy();
		},
	};
}
