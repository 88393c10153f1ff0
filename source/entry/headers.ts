/** Headers between callers, entries and servers. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Dialect} from './dialect.js';
import {type RoutePolicy} from './router.js';

const hopByHopHeaders = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);

/**
 * Gets the headers to forward, names and values in turn, without those of one hop.
 * @param rawHeaders - Names and values in turn.
 * @param connection - Value of the connection header, which names further headers of the hop.
 * @param excluded - Further names to leave out, in lower case.
 */
function filterHeaders(rawHeaders: readonly string[], connection: string | undefined, excluded: ReadonlySet<string>): string[] {
	const connectionHeaders = connection === undefined || connection.length < 11 ? undefined : new Set(connection.toLowerCase().split(',').map(name => name.trim()));
	const forwardedHeaders: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (!hopByHopHeaders.has(name) && !excluded.has(name) && !connectionHeaders?.has(name)) {
			forwardedHeaders.push(rawHeaders[index]!, rawHeaders[index + 1]!);
		}
	}

	return forwardedHeaders;
}

/** A caller's request on its way to a server. */
export type ForwardedRequest = {
	readonly dialect: Dialect;
	readonly incoming: IncomingMessage;
	readonly requestId: string;
	/** Name of the server that is to run the request. */
	readonly server: string;
	readonly remainingMilliseconds: number;
	/** Body that is held in memory, if it is. */
	readonly body: Buffer | undefined;
	/** Whether the body is still arriving. */
	readonly isStreamed: boolean;
};

/**
 * Gets the headers of a request to a server, names and values in turn.
 * @param request - Request of the caller, with what the entry adds.
 */
export function getForwardedHeaders(request: ForwardedRequest): string[] {
	const {incoming, dialect} = request;
	const headers = filterHeaders(incoming.rawHeaders, incoming.headers.connection, getEntryRequestHeaders(dialect));
	headers.push('host', incoming.headers.host ?? '', dialect.deadlineHeader, String(Math.max(1, Math.round(request.remainingMilliseconds))), dialect.requestIdHeader, request.requestId);
	if (dialect.serverHeader !== undefined) {
		headers.push(dialect.serverHeader, request.server);
	}

	const address = incoming.socket.remoteAddress;
	if (address !== undefined) {
		headers.push('x-forwarded-for', address);
	}

	headers.push(...getLengthHeaders(request));
	return headers;
}

const entryRequestHeaders = new WeakMap<Dialect, ReadonlySet<string>>();

/** Gets the headers that an entry sets itself towards servers. */
function getEntryRequestHeaders(dialect: Dialect): ReadonlySet<string> {
	const cachedNames = entryRequestHeaders.get(dialect);
	if (cachedNames !== undefined) {
		return cachedNames;
	}

	const names = new Set([dialect.deadlineHeader, dialect.requestIdHeader, 'content-length', 'host', 'x-forwarded-for']);
	if (dialect.serverHeader !== undefined) {
		names.add(dialect.serverHeader);
	}

	entryRequestHeaders.set(dialect, names);
	return names;
}

function getLengthHeaders({incoming, body, isStreamed}: ForwardedRequest): readonly string[] {
	const {method, headers} = incoming;
	if (body !== undefined) {
		return ['content-length', String(body.length)];
	}

	if (isStreamed) {
		const length = headers['content-length'];
		return length === undefined ? ['transfer-encoding', 'chunked'] : ['content-length', length];
	}

	return method === 'GET' || method === 'HEAD' ? [] : ['content-length', '0'];
}

/**
 * Gets a server's headers to forward to the caller.
 * @param dialect - Dialect of the server.
 * @param response - Answer of the server.
 */
export function getResponseHeaders(dialect: Dialect, response: IncomingMessage): string[] {
	return filterHeaders(response.rawHeaders, response.headers.connection, dialect.hiddenResponseHeaders);
}

/** Time of a caller's request. */
export type RequestTime = {
	/** Time that is left, in milliseconds: what the caller tells, or what the route allows where that is less. */
	readonly remainingMilliseconds: number;
	/** Time that the caller seems to have spent before, in milliseconds. */
	readonly elapsedMilliseconds: number;
};

/**
 * Reads the time that a caller gives its request. Undefined when the header can't be read.
 * @param header - Value of the deadline header, if any.
 * @param route - Route of the request, whose timeout is the largest deadline.
 * @param now - Time in milliseconds.
 */
export function getRequestTime(header: string | string[] | undefined, route: RoutePolicy, now: number): RequestTime | undefined {
	if (header === undefined) {
		return {remainingMilliseconds: route.timeoutMilliseconds, elapsedMilliseconds: 0};
	}

	if (typeof header !== 'string' || !/^\d{1,9}$/v.test(header)) {
		return undefined;
	}

	const announcedMilliseconds = Number(header);
	return {remainingMilliseconds: Math.min(announcedMilliseconds, route.timeoutMilliseconds), elapsedMilliseconds: route.elapsed.estimate(announcedMilliseconds, now)};
}
