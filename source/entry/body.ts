/** Reads the bodies of requests. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/** Result of reading a body; `cut` means that the connection closed before the end of the body. */
export type BodyReadResult
	= | {readonly kind: 'whole'; readonly bytes: Buffer}
		| {readonly kind: 'tooLarge'}
		| {readonly kind: 'cut'};

/**
 * Checks whether a request has a body.
 * @param request - Request of a caller.
 */
export function hasBody(request: IncomingMessage): boolean {
	const length = request.headers['content-length'];
	return request.headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0');
}

/**
 * Gets the value of the Content-Length header in bytes, or infinity when it is missing.
 * @param request - Request of a caller.
 */
export function getContentLength(request: IncomingMessage): number {
	const length = request.headers['content-length'];
	return length === undefined ? Number.POSITIVE_INFINITY : Number(length);
}

/**
 * Reads a complete body of limited size.
 * @param request - Request of a caller.
 * @param maximumBytes - Maximum size of the body in bytes.
 */
export async function readBody(request: IncomingMessage, maximumBytes: number): Promise<BodyReadResult> {
	return new Promise(resolve => {
		const chunks: Buffer[] = [];
		let size = 0;
		request.on('data', (chunk: Buffer) => {
			size += chunk.length;
			if (size > maximumBytes) {
				chunks.length = 0;
				resolve({kind: 'tooLarge'});
				return;
			}

			chunks.push(chunk);
		});
		request.once('end', () => {
			resolve(request.complete ? {kind: 'whole', bytes: Buffer.concat(chunks)} : {kind: 'cut'});
		});
		request.once('close', () => {
			resolve({kind: 'cut'});
		});
		request.once('error', () => {
			resolve({kind: 'cut'});
		});
	});
}
