/** Small helpers for the JSON interfaces of the processes. */
import {Buffer} from 'node:buffer';
import {timingSafeEqual, createHash} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {Result} from 'true-myth';

/** Largest body of an operator's request in bytes. */
export const maximumApiBodyBytes = 16 * 1024 * 1024;

/**
 * Answers with JSON.
 * @param response - Response to end.
 * @param status - HTTP status.
 * @param value - Plain data.
 */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
	const body = Buffer.from(`${JSON.stringify(value)}\n`);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': body.length});
	response.end(body);
}

/**
 * Reads a JSON body within the bound.
 * @param request - Request to read.
 * @param maximumBytes - Largest body in bytes.
 */
export async function readJson(request: IncomingMessage, maximumBytes: number): Promise<Result<unknown, string>> {
	const chunks: Buffer[] = [];
	let size = 0;
	try {
		for await (const chunk of request as AsyncIterable<Buffer>) {
			size += chunk.length;
			if (size > maximumBytes) {
				return Result.err(`the body exceeds ${maximumBytes} bytes; send a smaller one`);
			}

			chunks.push(chunk);
		}

		return Result.ok(JSON.parse(Buffer.concat(chunks).toString('utf8')));
	} catch {
		return Result.err('the body is not valid JSON; mend it');
	}
}

/**
 * Checks a bearer key in constant time.
 * @param request - Request with an authorization header.
 * @param key - Expected key, or undefined where none is asked for.
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
