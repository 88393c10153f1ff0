/** Heads of servers' responses, and the check that they can be passed on. */
import {type IncomingMessage} from 'node:http';
import {areHeadersValid} from './header-syntax.js';

/** Status and headers (alternating names and values) of a response. */
export type ResponseHead = {
	readonly status: number;
	readonly headers: readonly string[];
	/** Whether only the end of the connection marks the end of the body, so that a truncated body can look complete. */
	readonly isCloseDelimited: boolean;
};

/** Range of the status codes of final responses. */
const minimumFinalStatus = 200;
const maximumFinalStatus = 599;

/**
 * Start of a status line up to what follows its status. Within a head it shows that another response broke off in front of this one, in its
 * reason phrase or in a header. The value of a header such as `Via` may name the protocol and an address.
 */
export const statusLine = /HTTP\/1\.\d [1-5]\d\d(?: |\r|$)/v;

/**
 * Checks whether a received head is one of a final response and follows the syntax of HTTP. Node's parser is more tolerant:
 * it accepts header names with spaces and any status code, which cannot be sent to a caller, the heads of two responses in one, and any
 * transfer coding.
 * @param response - Server response whose head has arrived.
 */
export function isWellFormedHead(response: IncomingMessage): boolean {
	return hasFinalStatus(response) && areHeadersValid(response.rawHeaders) && !containsStatusLine(response) && hasKnownCoding(response);
}

/**
 * Checks whether the status is one of a final response.
 * @param response - Server response whose head has arrived.
 */
export function hasFinalStatus({statusCode = 0}: IncomingMessage): boolean {
	return statusCode >= minimumFinalStatus && statusCode <= maximumFinalStatus;
}

/** Checks whether the body is in no transfer coding but `chunked`. That of any other would reach the caller still coded, without the header that names it. */
function hasKnownCoding({headers}: IncomingMessage): boolean {
	return (headers['transfer-encoding'] ?? 'chunked').toLowerCase() === 'chunked';
}

/** Checks whether a head contains a second status line. Its status then belongs to one response, and its id may belong to another. */
function containsStatusLine({statusMessage, rawHeaders}: IncomingMessage): boolean {
	return statusLine.test(statusMessage ?? '') || rawHeaders.some(text => statusLine.test(text));
}
