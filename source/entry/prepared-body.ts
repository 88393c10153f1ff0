/** Prepares request bodies: small and claimed ones are buffered in memory, larger ones are streamed. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {notRun, type Verdict} from '../verdict/index.js';
import {getContentLength, hasBody, readBody} from './body.js';

/** Size limits of bodies. */
export type BodyLimits = {readonly maximumBodyBytes: number; readonly maximumBufferedBytes: number};

/** Body that is ready to be sent, or the verdict with which the request is refused. */
export type PreparedBody
	= | {readonly kind: 'ready'; readonly body: Buffer | undefined; readonly stream: IncomingMessage | undefined}
		| {readonly kind: 'refused'; readonly verdict: Verdict};

/**
 * Buffers small and claimed bodies in memory; larger ones are left to be streamed.
 * @param limits - Size limits of the entry.
 * @param incoming - Request of the caller.
 * @param isClaimed - Whether the complete body is needed for the digest of its claim.
 * @param response - Response to the caller, used to answer an Expect header.
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

	if (!isClaimed && contentLength > limits.maximumBufferedBytes) {
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
