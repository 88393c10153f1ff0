/** Models a request of a caller and the response to it, with only the parts that an entry's handling of requests uses. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {Writable} from 'node:stream';
import {type Workspace} from '../../source/configuration/index.js';
import {type Exchange} from '../../source/entry/callers/caller-connections.js';
import {defaultDialect, type Dialect} from '../../source/entry/index.js';

const millisecondsPerSecond = 1000;

/** Dialect of the modelled callers, whose `Retry-After` has fractions of a second. */
export const modelDialect: Dialect = {...defaultDialect, keepsRequestId: true, hasVerdictHeaders: false};

/** Response to a caller. */
export type CallerResponse = {
	readonly status: number;
	/** Time after which a refused caller may try again. */
	readonly retryAfterMilliseconds: number | undefined;
};

/** Request of a caller. */
export type CallerRequest = {
	readonly id: string;
	readonly path: string;
	readonly deadlineMilliseconds: number;
	/** Service time on a server without load. */
	readonly serviceMilliseconds: number;
	/** Workspace of the caller; by default callers need no key. */
	readonly workspace?: Workspace | undefined;
	onResponse(response: CallerResponse): void;
};

function createResponse(onResponse: (response: CallerResponse) => void): ServerResponse {
	let status = 0;
	let headers: readonly string[] = [];
	const stream = new Writable({
		write(_chunk, _encoding, callback) {
			callback();
		},
	});
	const response = Object.assign(stream, {
		headersSent: false,
		writeHead(nextStatus: number, nextHeaders: readonly string[]) {
			status = nextStatus;
			headers = nextHeaders;
			response.headersSent = true;
		},
	});
	response.once('finish', () => {
		const index = headers.indexOf('retry-after');
		onResponse({status, retryAfterMilliseconds: index === -1 ? undefined : Number(headers[index + 1]) * millisecondsPerSecond});
	});
	return response as unknown as ServerResponse;
}

function createRequest({id, path, deadlineMilliseconds}: CallerRequest): IncomingMessage {
	const headers = {host: 'any', [modelDialect.requestIdHeader]: id, [modelDialect.deadlineHeader]: String(deadlineMilliseconds)};
	return {
		method: 'GET', url: path, headers, rawHeaders: Object.entries(headers).flat(), socket: {},
	} as unknown as IncomingMessage;
}

/**
 * Creates the exchange of a request that arrives now.
 * @param request - Request of the caller.
 */
export function createExchange(request: CallerRequest): Exchange {
	return {
		request: createRequest(request), response: createResponse(request.onResponse), arrivedAt: performance.now(), decideClose: () => false,
	};
}
