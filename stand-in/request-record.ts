/** Record that a stand-in server keeps of each request, and the headers that callers and stand-in servers exchange. */
import {type IncomingMessage} from 'node:http';

/** Request header that makes a server crash. */
export const crashHeader = 'x-crash';

/** Request header with a token of the caller, which the response repeats. */
export const tokenHeader = 'x-caller-token';

/** Request header with the caller's id of one attempt to send a request. */
export const sendIdHeader = 'x-send-id';

/** Response header with the SHA-256 digest of the body in hexadecimal. */
export const digestHeader = 'x-body-digest';

/**
 * Outcome of a request at a server. `shed` and `failed` end it before it starts; `cancelled` means that
 * its connection closed before the response; `crashed` means that it crashed the server; `cut` means
 * that it ran, but the response was truncated or the connection reset; `probe` marks a health probe.
 */
export type RequestOutcome = 'ran' | 'shed' | 'cancelled' | 'failed' | 'crashed' | 'cut' | 'probe';

/** Withdrawal that a server states in a response: that it leaves, or that it wants no requests for a while. */
export type StatedWithdrawal = {readonly kind: 'leaving'} | {readonly kind: 'pause'; readonly milliseconds: number};

/** Record of one request or probe at a server. */
export type RequestRecord = {
	readonly server: string;
	readonly zone: string;
	/** Value of the request id header, or an empty string if there is none. */
	readonly requestId: string;
	/** Idempotency key of the request. */
	readonly key: string | undefined;
	/** Token of the caller. */
	readonly token: string | undefined;
	/** Time of arrival in wall-clock milliseconds. */
	readonly startedAt: number;
	/** Earliest time at which it may have arrived, before `startedAt` if the server's process was late. */
	readonly earliestAt: number;
	/** Time of the outcome in wall-clock milliseconds. */
	readonly endedAt: number;
	/** Id that the caller assigned to this attempt to send the request. */
	readonly sendId: string | undefined;
	/** Whether the server began to process the request. */
	readonly hasStarted: boolean;
	/** Number of requests in flight when this one arrived, including this one unless it is a probe. */
	readonly inFlight: number;
	/** Number of requests that the server could process concurrently when this one arrived. */
	readonly capacity: number;
	/** Whether the server was cold when this request arrived. */
	readonly isCold: boolean;
	readonly outcome: RequestOutcome;
	/** Withdrawal that the response states, if any. */
	readonly withdrawal?: StatedWithdrawal;
};

/**
 * Gets a request header as one string; repeated values are joined by commas.
 * @param request - Request with the header.
 * @param name - Name of the header in lower case.
 */
export function getHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value.join(',') : value;
}
