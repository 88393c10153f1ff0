/** Headers between callers, entries and servers. */
import {type IncomingMessage} from 'node:http';

/** Header with the time that is left for a request, in milliseconds. */
export const deadlineHeader = 'guavadeck-deadline';

/** Header with the id of a request. */
export const requestIdHeader = 'guavadeck-request-id';

/** Header with which a server states whether it is cold, warm or leaving. */
export const stateHeader = 'guavadeck-state';

/** Header with a server's requests in flight. */
export const loadHeader = 'guavadeck-load';

const hopByHop = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);

/** Headers that an entry sets itself towards servers. */
const ownRequestHeaders = new Set([deadlineHeader, requestIdHeader, 'content-length', 'host', 'x-forwarded-for']);

/** Headers that only concern the hop between server and entry. */
const ownAnswerHeaders = new Set([stateHeader, loadHeader, requestIdHeader]);

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

/**
 * Gets a caller's headers to forward to a server.
 * @param request - Request of the caller.
 */
export function getRequestHeaders(request: IncomingMessage): string[] {
	return filterHeaders(request.rawHeaders, request.headers.connection, ownRequestHeaders);
}

/**
 * Gets a server's headers to forward to the caller.
 * @param answer - Answer of the server.
 */
export function getAnswerHeaders(answer: IncomingMessage): string[] {
	return filterHeaders(answer.rawHeaders, answer.headers.connection, ownAnswerHeaders);
}

/**
 * Gets the time left for a request in milliseconds, or undefined for a malformed header.
 * @param header - Value of the deadline header, if any.
 * @param fallback - Deadline of the service in milliseconds, which is also the largest.
 */
export function getDeadline(header: string | string[] | undefined, fallback: number): number | undefined {
	if (header === undefined) {
		return fallback;
	}

	const milliseconds = Number(header);
	return typeof header === 'string' && /^\d{1,9}$/v.test(header) ? Math.min(milliseconds, fallback) : undefined;
}
