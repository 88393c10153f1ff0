/** Sends the body of a caller's request to a server as it arrives. */
import {type Buffer} from 'node:buffer';
import {type ClientRequest, type IncomingMessage} from 'node:http';
import {MalformedBodyError} from '../http/index.js';
import {type FailureReason} from './attempt-failure.js';

/** Options of `sendBody`. */
export type BodyUploadOptions = {
	/** Request of the caller. */
	readonly stream: IncomingMessage;
	/** Request to the server. */
	readonly request: ClientRequest;
	readonly maximumBytes: number;
	onFailure(reason: FailureReason): void;
};

/**
 * Starts to send a body. It stays unread until then, so that another server can receive it if this one is unreachable.
 * @param options - Requests and size limit.
 */
export function sendBody({
	stream, request, maximumBytes, onFailure,
}: BodyUploadOptions): void {
	let sentBytes = 0;
	stream.on('data', (chunk: Buffer) => {
		sentBytes += chunk.length;
		if (sentBytes > maximumBytes) {
			onFailure('body-too-large');
		}
	});
	stream.once('error', error => {
		onFailure(error instanceof MalformedBodyError ? 'bad-request' : 'connection-lost');
	});
	stream.pipe(request);
}
