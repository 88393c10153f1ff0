/**
 * How callers, entries and servers name things in headers. The product has its own
 * dialect; another one can be put in its place where callers and servers speak theirs.
 */
import {type IncomingHttpHeaders} from 'node:http';
import {getHeaderValue, notRun, verdictHeader} from '../verdict/index.js';

/** Load of a server, as it says itself. */
export type ServerLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** How long work takes there now, as a multiple of the usual; 1 where the server doesn't say. */
	readonly slowness: number;
};

/** What a server says of itself in an answer. */
export type ServerReport = {
	/** How much longer the server stays cold in milliseconds, 0 when it is warm, undefined when it doesn't say. */
	readonly coldMilliseconds: number | undefined;
	readonly load: ServerLoad | undefined;
	/** Name of the server that answers, where it says so. */
	readonly server: string | undefined;
};

/** Names of headers and what they say, in one protocol between callers, entries and servers. */
export type Dialect = {
	/** Time that is left for a request in milliseconds. */
	readonly deadlineHeader: string;
	readonly requestIdHeader: string;
	/** Whether the caller's own request id is kept. */
	readonly keepsRequestId: boolean;
	/** Header that names the server a request is meant for, if there is one. */
	readonly serverHeader: string | undefined;
	/** Whether answers of the entry carry its verdict in headers. */
	readonly hasVerdictHeaders: boolean;
	/** Headers of servers that are not forwarded to callers. */
	readonly hiddenResponseHeaders: ReadonlySet<string>;
	getReport(headers: IncomingHttpHeaders): ServerReport;
	/** Checks whether a server states that it has not run the request. */
	isNotRun(status: number, headers: IncomingHttpHeaders): boolean;
};

/** Header with the time that is left for a request, in milliseconds. */
export const deadlineHeader = 'guavadeck-deadline';

/** Header with the id of a request. */
export const requestIdHeader = 'guavadeck-request-id';

/** Header with which a server states whether it is cold, warm or leaving. */
export const stateHeader = 'guavadeck-state';

/** Header with a server's requests in flight. */
export const loadHeader = 'guavadeck-load';

const shedStatus = 503;
const notRunValue = getHeaderValue(notRun('server-shed'));

/** The product's own dialect. */
export const defaultDialect: Dialect = {
	deadlineHeader,
	requestIdHeader,
	keepsRequestId: false,
	serverHeader: undefined,
	hasVerdictHeaders: true,
	hiddenResponseHeaders: new Set([stateHeader, loadHeader, requestIdHeader]),
	getReport(headers) {
		const load = headers[loadHeader];
		return {
			// A cold server of this dialect doesn't say for how long; any positive time stands for it.
			coldMilliseconds: headers[stateHeader] === 'cold' ? 1 : undefined,
			load: typeof load === 'string'
				? {
					running: Number(load), waiting: 0, slots: 0, slowness: 1,
				}
				: undefined,
			server: undefined,
		};
	},
	isNotRun: (status, headers) => status === shedStatus && headers[verdictHeader] === notRunValue,
};
