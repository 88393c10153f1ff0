/**
 * Prepares request bodies. A body is held in memory if its size and the budget of the process allow it, so that the request can
 * be sent to another server and a slow caller takes no slot of a server. Other bodies are streamed, and sent only once.
 */
import {performance} from 'node:perf_hooks';
import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {notRun, type Verdict} from '../../verdict/index.js';
import {type ByteBudget} from '../../bytes/index.js';
import {readBody} from '../callers/index.js';
import {getContentLength, hasBody} from '../http/index.js';

/** Size limits of bodies. */
export type BodyLimits = {
	/** Maximum size of a body. */
	readonly maximumBodyBytes: number;
	/** Maximum size of a body that is held in memory. */
	readonly maximumHeldBodyBytes: number;
	/** Budget of the bodies that are held in memory. */
	readonly heldBodies: ByteBudget;
};

/** Request whose body is prepared. */
export type BodyRequest = {
	readonly limits: BodyLimits;
	readonly incoming: IncomingMessage;
	/** Response to the caller, used to answer an Expect header and to release held bytes. */
	readonly response: ServerResponse;
	/** Whether the complete body is needed for the digest of its claim. */
	readonly isClaimed: boolean;
	/** Time in milliseconds by which the request must have ended. */
	readonly deadlineAt: number;
};

/** Body that is ready to be sent, or the verdict with which the request is refused. */
export type PreparedBody
	= | {readonly kind: 'ready'; readonly body: Buffer | undefined; readonly stream: IncomingMessage | undefined}
		| {readonly kind: 'refused'; readonly verdict: Verdict};

/**
 * Reads a body into memory, or leaves it to be streamed.
 * @param request - Request of the caller, with the limits of the entry.
 */
export async function prepareBody(request: BodyRequest): Promise<PreparedBody> {
	const {limits, incoming, response, isClaimed} = request;
	if (!hasBody(incoming)) {
		return {kind: 'ready', body: undefined, stream: undefined};
	}

	const contentLength = getContentLength(incoming);
	if (contentLength !== undefined && contentLength > limits.maximumBodyBytes) {
		return {kind: 'refused', verdict: notRun('body-too-large')};
	}

	if (incoming.headers.expect !== undefined) {
		response.writeContinue();
	}

	const maximumHeldBytes = isClaimed ? limits.maximumBodyBytes : Math.min(limits.maximumHeldBodyBytes, limits.maximumBodyBytes);
	const reservedBytes = contentLength ?? maximumHeldBytes;
	if (reservedBytes > maximumHeldBytes || !limits.heldBodies.tryReserve(reservedBytes)) {
		return isClaimed ? {kind: 'refused', verdict: notRun('overload')} : {kind: 'ready', body: undefined, stream: incoming};
	}

	response.once('close', () => {
		limits.heldBodies.release(reservedBytes);
	});
	return readHeldBody(request, maximumHeldBytes);
}

async function readHeldBody({limits, incoming, isClaimed, deadlineAt}: BodyRequest, maximumBytes: number): Promise<PreparedBody> {
	const result = await readBody(incoming, maximumBytes, deadlineAt - performance.now());
	switch (result.kind) {
		case 'whole': {
			return {kind: 'ready', body: result.bytes, stream: undefined};
		}

		case 'tooLarge': {
			return isClaimed || maximumBytes === limits.maximumBodyBytes
				? {kind: 'refused', verdict: notRun('body-too-large')}
				: {kind: 'ready', body: undefined, stream: incoming};
		}

		case 'malformed': {
			return {kind: 'refused', verdict: notRun('bad-request')};
		}

		case 'late': {
			return {kind: 'refused', verdict: notRun('deadline')};
		}

		case 'cut': {
			return {kind: 'refused', verdict: notRun('caller-left')};
		}
	}
}
