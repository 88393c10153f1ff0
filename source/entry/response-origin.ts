/** Checks that a response belongs to the request to which it was read as the response, and that it is the server's. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Dialect} from './dialect.js';
import {type Pool} from './pool.js';
import {statusLineStart} from './response-head.js';

/** Request and the pool on whose connection its response was read. */
export type ResponseOrigin = {readonly dialect: Dialect; readonly pool: Pool; readonly requestId: string; readonly response: IncomingMessage};

/**
 * Checks whether a response belongs to its request, by the id that it repeats. Where servers may leave out the id, the pool
 * has learned whether this one repeats it.
 * @param origin - Request and response whose head has arrived.
 */
export function isOwnResponse(origin: ResponseOrigin): boolean {
	const {dialect, pool, requestId} = origin;
	const repeatedId = getRepeatedId(origin);
	return dialect.repeatsRequestId === 'always' ? repeatedId === requestId : pool.mayBeOwnResponse(requestId, repeatedId);
}

/**
 * Checks whether a response proves by the id that it belongs to its request.
 * @param origin - Request and response whose head has arrived.
 */
export function isProvenResponse(origin: ResponseOrigin): boolean {
	return getRepeatedId(origin) === origin.requestId;
}

/**
 * Checks whether a response carries the proof that its status requires: a success exactly one, another response one at most.
 * @param dialect - Header dialect of the server.
 * @param response - Response whose head has arrived.
 */
export function hasRequiredProof({proofHeader}: Dialect, response: IncomingMessage): boolean {
	if (proofHeader === undefined) {
		return true;
	}

	const proofs = response.headersDistinct[proofHeader] ?? [];
	return proofs.length === 0 ? !isSuccess(response) : proofs.length === 1 && proofs[0] !== '';
}

/**
 * Checks whether a body contains the head of a response with a request id. Only the end of the connection ends such a body, so that a
 * response written behind it or into it would become a part of it. Other bodies end where their framing says, and surplus bytes fail them.
 * @param dialect - Header dialect of the server.
 * @param body - Complete body of a response that the end of its connection ended.
 */
export function containsResponse(dialect: Dialect, body: Buffer): boolean {
	if (!body.includes(statusLineStart)) {
		return false;
	}

	const text = body.toString('latin1');
	const start = text.search(/HTTP\/1\.\d \d{3}/v);
	return start !== -1 && text.slice(start).toLowerCase().includes(`\r\n${dialect.requestIdHeader}:`);
}

function isSuccess({statusCode = 0}: IncomingMessage): boolean {
	return statusCode >= 200 && statusCode < 300;
}

/** Gets the id that a response repeats; several ones together are the id of no request. */
function getRepeatedId({dialect, response}: ResponseOrigin): string | undefined {
	const repeatedId = response.headers[dialect.requestIdHeader];
	return Array.isArray(repeatedId) ? repeatedId.join(',') : repeatedId;
}
