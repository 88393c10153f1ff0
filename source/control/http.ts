/** Helpers for JSON over HTTP. */
import {Buffer} from 'node:buffer';
import {timingSafeEqual, createHash} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Result} from 'true-myth';
import {type Log} from '../telemetry/index.js';
import {type CallBodyFault, type CallBodyReader} from './call-body.js';
import {decodeJsonBody} from './json-body.js';

/** Maximum size of the body of an operator's request, in bytes. */
export const maximumApiBodyBytes = 16 * 1024 * 1024;

/**
 * Sends a JSON response.
 * @param response - Response to end.
 * @param status - HTTP status.
 * @param value - Data to serialize.
 */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
	const body = Buffer.from(`${JSON.stringify(value)}\n`);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': body.length});
	response.end(body);
}

/**
 * Reads a JSON body of limited size.
 * @param bodies - Reader of the process.
 * @param request - Request to read.
 * @param maximumBytes - Maximum size of the body, in bytes.
 */
export async function readJson(bodies: CallBodyReader, request: IncomingMessage, maximumBytes: number): Promise<Result<unknown, string>> {
	const body = await bodies.read(request, maximumBytes);
	return body
		.mapErr(fault => explainFault(fault, maximumBytes))
		.andThen(bytes => decodeJsonBody(bytes))
		.map(({value}) => value);
}

function explainFault(fault: CallBodyFault, maximumBytes: number): string {
	switch (fault) {
		case 'tooLarge': {
			return `the body exceeds ${maximumBytes} bytes`;
		}

		case 'overload': {
			return 'the bodies of other calls take all memory for them; try again';
		}

		case 'cut': {
			return 'the body is not complete';
		}
	}
}

/**
 * Checks whether a request carries the expected bearer key, in constant time.
 * @param request - Request to check.
 * @param key - Expected key, or undefined if none is required.
 */
export function isAuthorized(request: IncomingMessage, key: string | undefined): boolean {
	if (key === undefined) {
		return true;
	}

	const authorization = request.headers.authorization ?? '';
	return timingSafeEqual(digest(authorization), digest(`Bearer ${key}`));
}

function digest(text: string): Buffer {
	return createHash('sha256').update(text).digest();
}

/**
 * Gets the address and port of the sender of a call.
 * @param request - Call whose connection is open.
 */
export function getSender({socket}: IncomingMessage): string {
	return `${socket.remoteAddress ?? 'closed'}:${socket.remotePort ?? 0}`;
}

/** A call of the API with the log of its process. */
export type LoggedCall = {readonly log: Log; readonly request: IncomingMessage; readonly response: ServerResponse};

/**
 * Handles a call; an unexpected error ends just this call, with a log line and status 500.
 * @param call - Call to handle.
 * @param handle - Handler of calls.
 */
export async function handleSafely({log, request, response}: LoggedCall, handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>): Promise<void> {
	try {
		await handle(request, response);
	} catch (error) {
		log.error({err: error, method: request.method, path: request.url}, 'internal error while handling a call; only this call ends');
		if (response.headersSent) {
			response.destroy();
		} else {
			sendJson(response, 500, {kind: 'faults', faults: ['internal error; see the log of this process']});
		}
	}
}
