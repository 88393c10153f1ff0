/** Reads how a message announces its body. */
import {type IncomingMessage} from 'node:http';

/**
 * Checks whether a request has a body.
 * @param request - Request of a caller.
 */
export function hasBody(request: IncomingMessage): boolean {
	const length = request.headers['content-length'];
	return request.headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0');
}

/**
 * Gets the value of the Content-Length header in bytes, or undefined when it is missing.
 * @param message - Request of a caller or response of a server.
 */
export function getContentLength(message: IncomingMessage): number | undefined {
	const length = message.headers['content-length'];
	return length === undefined ? undefined : Number(length);
}
