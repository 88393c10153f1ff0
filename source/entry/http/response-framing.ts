/** How the end of a response's body is marked. */
import {type IncomingMessage} from 'node:http';

/**
 * Checks whether the headers, rather than the end of the connection, mark the end of the body.
 * @param response - Response whose head has arrived.
 * @param method - Method of the request.
 */
export function isSelfDelimited(response: IncomingMessage, method: string): boolean {
	return hasNoBody(response, method) || response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined;
}

/** Checks whether the method or status excludes a body, regardless of the headers. */
function hasNoBody(response: IncomingMessage, method: string): boolean {
	return method === 'HEAD' || response.statusCode === 204 || response.statusCode === 304;
}
