/** Gets the body of a request ready: small and claimed ones in memory, larger ones as a stream. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {notRun, type Verdict} from '../verdict/index.js';
import {getContentLength, hasBody, readBody} from './body.js';

/** Bounds of bodies in bytes. */
export type BodyLimits = {readonly maximumBodyBytes: number; readonly maximumHeldBytes: number};

/** A body that is ready to be sent, or the refusal of its request. */
export type PreparedBody
	= | {readonly kind: 'ready'; readonly body: Buffer | undefined; readonly stream: IncomingMessage | undefined}
		| {readonly kind: 'refused'; readonly verdict: Verdict};

/**
 * Reads small and claimed bodies into memory; larger ones are left to be streamed.
 * @param limits - Bounds of the entry.
 * @param incoming - Request of the caller.
 * @param isClaimed - Whether the whole body is needed for its digest.
 * @param response - Response, for the answer to an expectation.
 */
export async function prepareBody(limits: BodyLimits, incoming: IncomingMessage, isClaimed: boolean, response: ServerResponse): Promise<PreparedBody> {
	if (!hasBody(incoming)) {
		return {kind: 'ready', body: undefined, stream: undefined};
	}

	const contentLength = getContentLength(incoming);
	if (Number.isFinite(contentLength) && contentLength > limits.maximumBodyBytes) {
		return {kind: 'refused', verdict: notRun('body-too-large')};
	}

	if (incoming.headers.expect !== undefined) {
		response.writeContinue();
	}

	if (!isClaimed && contentLength > limits.maximumHeldBytes) {
		return {kind: 'ready', body: undefined, stream: incoming};
	}

	const body = await readBody(incoming, limits.maximumBodyBytes);
	switch (body.kind) {
		case 'whole': {
			return {kind: 'ready', body: body.bytes, stream: undefined};
		}

		case 'tooLarge': {
			return {kind: 'refused', verdict: notRun('body-too-large')};
		}

		case 'cut': {
			return {kind: 'refused', verdict: notRun('caller-left')};
		}
	}
}
