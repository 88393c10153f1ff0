/** Checks that a response belongs to the request to which it was read as the response, and that it is the server's. */
import {type IncomingMessage} from 'node:http';
import {type Dialect} from '../dialect.js';
import {type Pool} from './pool.js';

/** Request and the pool on whose connection its response was read. */
export type ResponseOrigin = {readonly dialect: Dialect; readonly pool: Pool; readonly requestId: string; readonly response: IncomingMessage};

/**
 * Checks whether a response belongs to its request, by the id that it repeats. Where servers may leave out the id, the pool
 * has learned whether this one repeats it.
 * @param origin - Request and response whose head has arrived.
 */
export function isOwnResponse(origin: ResponseOrigin): boolean {
	const {
		dialect, pool, requestId, response,
	} = origin;
	const repeatedId = getRepeatedId(dialect, response);
	return dialect.repeatsRequestId === 'always' ? repeatedId === requestId : pool.mayBeOwnResponse(requestId, repeatedId);
}

/**
 * Checks whether a response proves by the id that it belongs to its request.
 * @param origin - Request and response whose head has arrived.
 */
export function isProvenResponse({dialect, requestId, response}: ResponseOrigin): boolean {
	return getRepeatedId(dialect, response) === requestId;
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

	const [proof = '', ...others] = response.headersDistinct[proofHeader] ?? [];
	return others.length === 0 && (proof !== '' || !isSuccess(response));
}

function isSuccess({statusCode = 0}: IncomingMessage): boolean {
	return statusCode >= 200 && statusCode < 300;
}

/**
 * Gets the id that a response repeats; several ones together are the id of no request.
 * @param dialect - Dialect of the server.
 * @param response - Response whose head has arrived.
 */
export function getRepeatedId(dialect: Dialect, response: IncomingMessage): string | undefined {
	const repeatedId = response.headers[dialect.requestIdHeader];
	return Array.isArray(repeatedId) ? repeatedId.join(',') : repeatedId;
}
