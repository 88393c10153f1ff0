/**
 * Queries servers for their load just before a request is sent, over the connections that carry requests: the request then finds
 * a connection that is open and was used a moment before. A server that does not reply in time is not selected for the request,
 * and its connection is closed after a longer timeout.
 */
import {type Agent, type IncomingMessage} from 'node:http';
import {getExpectedSlowdown, type Candidate, type LoadReading} from '../../choice/index.js';
import {discardBody} from '../../bytes/index.js';
import {type Dialect, type ServerReport} from '../dialect.js';
import {isWellFormedHead} from '../http/index.js';
import {getRepeatedId} from './response-origin.js';
import {startServerRequest} from './server-request.js';

/** Time after which a query counts as lost and its connection is closed. */
const queryTimeoutMilliseconds = 400;

/** Limits of the body of a reply, which is not used. */
const responseLimits = {maximumBytes: 16_384, maximumMilliseconds: queryTimeoutMilliseconds};

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

/** Bytes of one query and its reply, and the zone of the server. */
export type QueryTransfer = {readonly zone: string; readonly sentBytes: number; readonly receivedBytes: number};

/** Queries servers for their load. */
export type LoadQuerier = {
	/** Sends a query; the returned function cancels it. */
	query(query: LoadQuery): () => void;
};

/** Options of a load querier. */
export type LoadQuerierOptions = {
	readonly dialect: Dialect;
	/** Gets the agent of the connections to a server, or undefined if the server has been removed. */
	getAgent(candidate: Candidate): Agent | undefined;
	/** Gets the path at which the servers of a service report their load. */
	getPath(service: string): string;
	/** Called with the status that a server reports. */
	onReport(candidate: Candidate, report: ServerReport): void;
	/** Called with a candidate that did not reply. */
	onMiss(candidate: Candidate): void;
	/** Called with the bytes of a query and its reply. */
	onTransfer?(transfer: QueryTransfer): void;
	/** Called with whether a query to one server succeeded. */
	onResult(isSuccess: boolean): void;
};

/**
 * Creates a load querier.
 * @param options - Dialect, paths and event callbacks.
 */
export function createLoadQuerier(options: LoadQuerierOptions): LoadQuerier {
	const {dialect} = options;

	/** Checks whether a response is the reply of the candidate, and not one of another server at its address or a late one to an earlier request. */
	function isOwnReply(response: IncomingMessage, report: ServerReport, name: string): boolean {
		return getRepeatedId(dialect, response) === undefined && (report.server === undefined || report.server === name);
	}

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

		const agent = options.getAgent(candidate);
		const headers = dialect.serverHeader === undefined ? {} : {[dialect.serverHeader]: name};
		const started = agent === undefined
			? undefined
			: startServerRequest({
				host, port, path: options.getPath(service), method: 'GET', agent, headers,
			});
		const timer = setTimeout(() => {
			started?.map(request => request.destroy());
		}, queryTimeoutMilliseconds);
		if (started === undefined || started.isErr) {
			setImmediate(end, undefined);
			return;
		}

		const request = started.value;
		// Connections of HTTP/1.1 persist unless a header says otherwise, so the header that Node adds has no use.
		request.removeHeader('connection');
		let countTransfer: (() => void) | undefined;
		request.once('socket', socket => {
			const {bytesWritten, bytesRead} = socket;
			countTransfer = () => {
				options.onTransfer?.({zone, sentBytes: socket.bytesWritten - bytesWritten, receivedBytes: socket.bytesRead - bytesRead});
			};
		});
		request.once('response', response => {
			if (!isWellFormedHead(response)) {
				fail();
				return;
			}

			const report = dialect.getReport(response.headers, response.statusCode ?? 0);
			if (!isOwnReply(response, report, name)) {
				fail();
				return;
			}

			discardBody(response, responseLimits);
			response.once('end', () => countTransfer?.());

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

		/** Counts the query as lost, and closes its connection: what comes next on it may be the reply. */
		function fail(): void {
			end(undefined);
			request.destroy();
		}
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
	};
}
