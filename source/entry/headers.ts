/** Headers between callers, entries and servers. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Dialect} from './dialect.js';
import {type RoutePolicy} from './router.js';

const hopByHop = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);

/**
 * Gets the headers to forward, names and values in turn, without those of one hop.
 * @param rawHeaders - Names and values in turn.
 * @param connection - Value of the connection header, which names further headers of the hop.
 * @param dropped - Further names to leave out, in lower case.
 */
function filterHeaders(rawHeaders: readonly string[], connection: string | undefined, dropped: ReadonlySet<string>): string[] {
	const named = connection === undefined || connection.length < 11 ? undefined : new Set(connection.toLowerCase().split(',').map(name => name.trim()));
	const kept: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (!hopByHop.has(name) && !dropped.has(name) && !named?.has(name)) {
			kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
		}
	}

	return kept;
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
	const headers = filterHeaders(incoming.rawHeaders, incoming.headers.connection, getOwnRequestHeaders(dialect));
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

const ownRequestHeaders = new WeakMap<Dialect, ReadonlySet<string>>();

/** Gets the headers that an entry sets itself towards servers. */
function getOwnRequestHeaders(dialect: Dialect): ReadonlySet<string> {
	const known = ownRequestHeaders.get(dialect);
	if (known !== undefined) {
		return known;
	}

	const names = new Set([dialect.deadlineHeader, dialect.requestIdHeader, 'content-length', 'host', 'x-forwarded-for']);
	if (dialect.serverHeader !== undefined) {
		names.add(dialect.serverHeader);
	}

	ownRequestHeaders.set(dialect, names);
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
 * @param answer - Answer of the server.
 */
export function getResponseHeaders(dialect: Dialect, answer: IncomingMessage): string[] {
	return filterHeaders(answer.rawHeaders, answer.headers.connection, dialect.hiddenResponseHeaders);
}

/** Time of a caller's request. */
export type RequestTime = {
	/** Time that is left, in milliseconds: what the caller tells, or what the route allows where that is less. */
	readonly deadline: number;
	/** Time that the caller seems to have spent before, in milliseconds. */
	readonly elapsed: number;
};

/**
 * Reads the time that a caller gives its request. Undefined when the header can't be read.
 * @param header - Value of the deadline header, if any.
 * @param route - Route of the request, whose timeout is the largest deadline.
 * @param now - Time in milliseconds.
 */
export function getRequestTime(header: string | string[] | undefined, route: RoutePolicy, now: number): RequestTime | undefined {
	if (header === undefined) {
		return {deadline: route.timeoutMilliseconds, elapsed: 0};
	}

	if (typeof header !== 'string' || !/^\d{1,9}$/v.test(header)) {
		return undefined;
	}

	const told = Number(header);
	return {deadline: Math.min(told, route.timeoutMilliseconds), elapsed: route.elapsed.estimate(told, now)};
}
