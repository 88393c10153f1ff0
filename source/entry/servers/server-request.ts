/**
 * Starts requests to servers. Node throws for a header, path or port that cannot be sent. The error is returned instead, because a
 * request can start in a timer or in a handler of another request's event, where a thrown error would end the process.
 */
import {request as startRequest, type ClientRequest, type RequestOptions} from 'node:http';
import {Result} from 'true-myth';

/** Options of Node's request. Agents get the zone of the server with the options of a new connection. */
export type ServerRequestOptions = RequestOptions & {readonly serverZone?: string};

/**
 * Starts a request, or gets the reason why it cannot be sent. Nothing has been sent in that case.
 * @param options - Address, method, path and headers.
 */
export function startServerRequest(options: ServerRequestOptions): Result<ClientRequest, Error> {
	try {
		const request = startRequest(options);
		// Node would drop the headers of a response beyond the first 1,000; their size is limited instead.
		request.maxHeadersCount = 0;
		return Result.ok(request);
	} catch (error) {
		return Result.err(error instanceof Error ? error : new Error(String(error)));
	}
}
