/** What a stand-in server records of each request, and the headers by which callers and servers know one another. */
import {type IncomingMessage} from 'node:http';

/** Header that asks a server to crash. */
export const crashHeader = 'x-crash';

/** Header that a caller sends and that the answer repeats. */
export const tokenHeader = 'x-caller-token';

/** Header with the caller's id of one sending. */
export const sendHeader = 'x-send-id';

/** Header with the SHA-256 digest of the answer's body. */
export const digestHeader = 'x-body-digest';

/** What became of a request at a server. */
export type RunOutcome = 'ran' | 'shed' | 'cancelled' | 'failed' | 'crashed' | 'cut' | 'probe';

/** One request at a server. */
export type Run = {
	readonly server: string;
	readonly zone: string;
	readonly requestId: string;
	readonly key: string | undefined;
	readonly token: string | undefined;
	/** Wall-clock milliseconds. */
	readonly startedAt: number;
	readonly endedAt: number;
	/** Id that the caller gives each sending of a request. */
	readonly sendId: string | undefined;
	/** Whether the server began to run the request. */
	readonly hasStarted: boolean;
	/** Requests at the server when this one arrived, itself included. */
	readonly inFlight: number;
	/** Requests that the server could carry when this one arrived. */
	readonly capacity: number;
	readonly isCold: boolean;
	readonly outcome: RunOutcome;
};

/**
 * Gets a header of a request as one text.
 * @param request - Request.
 * @param name - Name of the header in lower case.
 */
export function getHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value.join(',') : value;
}
