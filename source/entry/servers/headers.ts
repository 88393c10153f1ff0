/** Filters and adds headers of requests and responses that an entry forwards. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Access} from '../../workspace/index.js';
import {type Dialect} from '../dialect.js';
import {type RoutePolicy} from '../routing/index.js';

const hopByHopHeaders = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);

/** Headers that frame or route a message, which the Connection header cannot declare to be hop-by-hop. */
const framingHeaders = new Set(['content-length', 'content-type', 'content-encoding', 'host']);

/**
 * Removes hop-by-hop and excluded headers.
 * @param rawHeaders - Alternating names and values.
 * @param connection - Value of the Connection header, which names further hop-by-hop headers.
 * @param excluded - Further names to remove, in lower case.
 */
function filterHeaders(rawHeaders: readonly string[], connection: string | undefined, excluded: ReadonlySet<string>): string[] {
	const connectionHeaders = connection === undefined ? undefined : new Set(connection.toLowerCase().split(',').map(name => name.trim()));
	const forwardedHeaders: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		const isNamedAway = connectionHeaders?.has(name) === true && !framingHeaders.has(name);
		if (!hopByHopHeaders.has(name) && !excluded.has(name) && !isNamedAway) {
			forwardedHeaders.push(rawHeaders[index]!, rawHeaders[index + 1]!);
		}
	}

	return forwardedHeaders;
}

/** Request of a caller that is forwarded to a server. */
export type ForwardedRequest = {
	readonly dialect: Dialect;
	readonly incoming: IncomingMessage;
	readonly requestId: string;
	readonly access: Access;
	/** Name of the server that receives the request. */
	readonly server: string;
	readonly remainingMilliseconds: number;
	/** Body, if it is buffered in memory. */
	readonly body: Buffer | undefined;
	/** Whether the body is streamed from the caller. */
	readonly isStreamed: boolean;
};

/**
 * Gets the headers of a forwarded request as alternating names and values.
 * @param request - Request of the caller, with the values that the entry adds.
 */
export function getForwardedHeaders(request: ForwardedRequest): string[] {
	const {incoming, dialect, access} = request;
	// The headers of the entry come first, since some servers ignore headers beyond a certain number.
	const headers = ['host', incoming.headers.host ?? '', dialect.deadlineHeader, String(Math.max(1, Math.round(request.remainingMilliseconds))), dialect.requestIdHeader, request.requestId];
	if (dialect.serverHeader !== undefined) {
		headers.push(dialect.serverHeader, request.server);
	}

	if (access.kind === 'granted') {
		headers.push(dialect.workspaceHeader, access.workspace.name);
	}

	const address = incoming.socket.remoteAddress;
	if (address !== undefined) {
		headers.push('x-forwarded-for', address);
	}

	return [...headers, ...getLengthHeaders(request), ...filterHeaders(incoming.rawHeaders, incoming.headers.connection, getWithheldHeaders(dialect, access))];
}

type WithheldHeaders = {readonly withWorkspaces: ReadonlySet<string>; readonly withoutWorkspaces: ReadonlySet<string>};

const withheldHeaders = new WeakMap<Dialect, WithheldHeaders>();

/** Gets the names of headers that are not forwarded: those that the entry sets itself, and the key of a document with workspaces. */
function getWithheldHeaders(dialect: Dialect, access: Access): ReadonlySet<string> {
	const names = withheldHeaders.get(dialect) ?? createWithheldHeaders(dialect);
	withheldHeaders.set(dialect, names);
	return access.kind === 'open' ? names.withoutWorkspaces : names.withWorkspaces;
}

function createWithheldHeaders(dialect: Dialect): WithheldHeaders {
	const names = [dialect.deadlineHeader, dialect.requestIdHeader, 'content-length', 'host', 'x-forwarded-for', ...(dialect.serverHeader === undefined ? [] : [dialect.serverHeader])];
	return {withoutWorkspaces: new Set(names), withWorkspaces: new Set([...names, dialect.keyHeader, dialect.workspaceHeader])};
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
 * Gets the headers of a server's response that are forwarded to the caller.
 * @param dialect - Header dialect of the server.
 * @param response - Response of the server.
 */
export function getResponseHeaders(dialect: Dialect, response: Pick<IncomingMessage, 'rawHeaders' | 'headers'>): string[] {
	return filterHeaders(response.rawHeaders, response.headers.connection, dialect.hiddenResponseHeaders);
}

/** Remaining and estimated elapsed time of a request on arrival. */
export type RequestTime = {
	/** The deadline header of the caller or the timeout of the route, whichever is less. */
	readonly remainingMilliseconds: number;
	/** Estimated time that the caller spent on the request before it arrived. */
	readonly elapsedMilliseconds: number;
};

/**
 * Gets the remaining and elapsed time of a request, or undefined when the deadline header is invalid.
 * @param header - Value of the deadline header, if any.
 * @param route - Route of the request, whose timeout limits the deadline.
 * @param now - Current time in milliseconds.
 */
export function getRequestTime(header: string | string[] | undefined, route: RoutePolicy, now: number): RequestTime | undefined {
	if (header === undefined) {
		return {remainingMilliseconds: route.timeoutMilliseconds, elapsedMilliseconds: 0};
	}

	if (typeof header !== 'string' || !/^\d{1,9}$/v.test(header)) {
		return undefined;
	}

	const announcedMilliseconds = Number(header);
	return {remainingMilliseconds: Math.min(announcedMilliseconds, route.timeoutMilliseconds), elapsedMilliseconds: route.elapsedEstimate.estimate(announcedMilliseconds, now)};
}
