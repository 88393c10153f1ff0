/**
 * Header names and their meaning between callers, entries and servers. The default
 * dialect can be replaced where callers and servers use other headers.
 */
import {type IncomingHttpHeaders} from 'node:http';
import {getVerdictHeaderValue, notRun, verdictHeader} from '../verdict/index.js';

/** Load of a server as reported by the server. */
export type ServerLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** Current service time as a multiple of the usual one; 1 when the server does not report it. */
	readonly slowness: number;
};

/** Status of a server, as reported in the headers of a response. */
export type ServerReport = {
	/** Remaining time for which the server stays cold, 0 when it is warm, undefined when it is not reported. */
	readonly coldMilliseconds: number | undefined;
	readonly load: ServerLoad | undefined;
	/** Name of the responding server, if it is reported. */
	readonly server: string | undefined;
	/** Whether the server leaves and wants no further requests. */
	readonly isLeaving: boolean;
	/** Time for which the server wants no requests from this entry, with a refusal; undefined if it states none. */
	readonly pauseMilliseconds: number | undefined;
};

/** Header names and their interpretation in the protocol between callers, entries and servers. */
export type Dialect = {
	/** Header with the remaining time of a request in milliseconds. */
	readonly deadlineHeader: string;
	readonly requestIdHeader: string;
	/** Whether a request id that the caller sends is kept. */
	readonly keepsRequestId: boolean;
	/** Whether servers repeat the id of the request in each of their responses, or may leave it out in all of them. */
	readonly repeatsRequestId: 'always' | 'optionally';
	/** Header with the name of the server that should run the request, if the dialect has one. */
	readonly serverHeader: string | undefined;
	/** Header that each successful response of a server carries once, as the proof that it is the server's, if the dialect has one. */
	readonly proofHeader: string | undefined;
	/** Header with the key by which a caller identifies its workspace. It is not forwarded where the document has workspaces. */
	readonly keyHeader: string;
	/** Header with the name of the caller's workspace, which the entry sets for servers. */
	readonly workspaceHeader: string;
	/** Whether responses of the entry itself carry the verdict in headers. */
	readonly hasVerdictHeaders: boolean;
	/** Response headers of servers that are not forwarded to callers. */
	readonly hiddenResponseHeaders: ReadonlySet<string>;
	/** Gets what a response states about its server. */
	getReport(headers: IncomingHttpHeaders, status: number): ServerReport;
	/** Checks whether callers take a status to mean that the request has not run and never will. */
	promisesNotRun(status: number): boolean;
	/** Checks whether a server declares that it did not run the request. */
	isNotRun(status: number, headers: IncomingHttpHeaders): boolean;
};

/** Header with the remaining time of a request in milliseconds. */
export const deadlineHeader = 'guavadeck-deadline';

/** Header with the id of a request. */
export const requestIdHeader = 'guavadeck-request-id';

/** Header with the state of a server: cold, warm or leaving. */
export const stateHeader = 'guavadeck-state';

/** Header with the number of requests in flight on a server. */
export const loadHeader = 'guavadeck-load';

const shedStatus = 503;
const millisecondsPerSecond = 1000;

/** Longest pause that is kept: an hour. A server that asks for more is likely to be faulty. */
const maximumPauseMilliseconds = 3_600_000;

/**
 * Gets the time for which a server that refuses a request wants no others: the Retry-After header of a 503 in seconds, fractions
 * included. Dates, negative numbers and anything else state nothing.
 * @param headers - Headers of the response.
 * @param status - Status of the response.
 */
export function getPauseMilliseconds(headers: IncomingHttpHeaders, status: number): number | undefined {
	const value = headers['retry-after'] ?? '';
	return status === shedStatus && /^\d{1,12}(?:\.\d{1,12})?$/v.test(value) ? Math.min(Number(value) * millisecondsPerSecond, maximumPauseMilliseconds) : undefined;
}

const notRunValue = getVerdictHeaderValue(notRun('server-shed'));

/** Dialect that is used unless another one is given. */
export const defaultDialect: Dialect = {
	deadlineHeader,
	requestIdHeader,
	keepsRequestId: false,
	repeatsRequestId: 'optionally',
	serverHeader: undefined,
	proofHeader: undefined,
	keyHeader: 'guavadeck-key',
	workspaceHeader: 'guavadeck-workspace',
	hasVerdictHeaders: true,
	hiddenResponseHeaders: new Set([stateHeader, loadHeader, requestIdHeader]),
	getReport(headers, status) {
		const load = headers[loadHeader];
		return {
			// Servers of this dialect do not report how long they stay cold; any positive time marks them as cold.
			coldMilliseconds: headers[stateHeader] === 'cold' ? 1 : undefined,
			load: typeof load === 'string'
				? {
					running: Number(load), waiting: 0, slots: 0, slowness: 1,
				}
				: undefined,
			server: undefined,
			isLeaving: headers[stateHeader] === 'leaving',
			pauseMilliseconds: getPauseMilliseconds(headers, status),
		};
	},
	// Callers of this dialect go by the verdict header.
	promisesNotRun: () => false,
	isNotRun: (status, headers) => status === shedStatus && headers[verdictHeader] === notRunValue,
};
