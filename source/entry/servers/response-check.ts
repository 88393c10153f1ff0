/** Checks whether a response counts: whether it is well-formed, belongs to its request and carries the proof of its server. */
import {isWellFormedHead} from '../http/index.js';
import {hasRequiredProof, isOwnResponse, type ResponseOrigin} from './response-origin.js';

/** Reason for which a response does not count. */
export type ResponseFault = 'answer-malformed' | 'answer-mismatched' | 'answer-unproven';

/**
 * Finds the reason for which a response does not count. Nothing that a malformed head states is used: neither the load of the server nor that
 * it did not run the request.
 * @param origin - Request and response whose head has arrived.
 */
export function findResponseFault(origin: ResponseOrigin): ResponseFault | undefined {
	if (!isWellFormedHead(origin.response)) {
		return 'answer-malformed';
	}

	if (!isOwnResponse(origin)) {
		return 'answer-mismatched';
	}

	return hasRequiredProof(origin.dialect, origin.response) ? undefined : 'answer-unproven';
}
