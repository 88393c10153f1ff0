/** Reads the bodies of requests. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {createByteCollector} from '../../bytes/index.js';
import {MalformedBodyError} from '../http/index.js';

/**
 * Result of reading a body. `tooLarge` means that it exceeds the limit; what was read so far is put back. `cut` means that the
 * connection closed before the end of the body, `late` that the body did not end in time.
 */
export type BodyReadResult
	= | {readonly kind: 'whole'; readonly bytes: Buffer}
		| {readonly kind: 'tooLarge'}
		| {readonly kind: 'malformed'}
		| {readonly kind: 'late'}
		| {readonly kind: 'cut'};

/**
 * Reads a complete body of limited size.
 * @param request - Request of a caller.
 * @param maximumBytes - Maximum size of the body in bytes.
 * @param maximumMilliseconds - Maximum time until the end of the body.
 */
export async function readBody(request: IncomingMessage, maximumBytes: number, maximumMilliseconds: number): Promise<BodyReadResult> {
	return new Promise(resolve => {
		const collector = createByteCollector();

		function end(result: BodyReadResult): void {
			clearTimeout(timer);
			request.off('data', onData);
			request.off('end', onEnd);
			request.off('close', onClose);
			request.off('error', onError);
			resolve(result);
		}

		function onData(chunk: Buffer): void {
			collector.add(chunk);
			if (collector.getSize() > maximumBytes) {
				request.pause();
				request.unshift(collector.toBuffer());
				end({kind: 'tooLarge'});
			}
		}

		function onEnd(): void {
			end(request.complete ? {kind: 'whole', bytes: collector.toBuffer()} : {kind: 'cut'});
		}

		function onClose(): void {
			end({kind: 'cut'});
		}

		function onError(error: Error): void {
			end({kind: error instanceof MalformedBodyError ? 'malformed' : 'cut'});
		}

		const timer = setTimeout(() => {
			end({kind: 'late'});
		}, Math.max(0, maximumMilliseconds));
		request.on('data', onData);
		request.once('end', onEnd);
		request.once('close', onClose);
		request.once('error', onError);
	});
}
