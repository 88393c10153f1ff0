/** Writes responses to callers. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {
	getVerdictHeaderValue, getVerdictStatus, reasonHeader, verdictHeader, type Verdict,
} from '../../verdict/index.js';
import {type ResponseCompletion, type ResponseHead} from '../http/index.js';
import {type Dialect} from '../dialect.js';
import {type BodyTarget} from './body-target.js';
import {breakOff} from './break-off.js';
import {relayBody} from './body-relay.js';

const minimumRetryAfterSeconds = 1;
const maximumSpreadValue = 65_535;
const millisecondsPerSecond = 1000;

/**
 * Gets a number from 0 to 1 that spreads the retries of refused callers, derived from the random request id.
 * @param requestId - Id of the request.
 */
export function getRetrySpread(requestId: string): number {
	return createHash('sha256').update(requestId).digest().readUInt16BE(0) / maximumSpreadValue;
}

/** Response that the entry makes itself from a verdict. */
export type VerdictResponse = {
	readonly dialect: Dialect;
	readonly response: ServerResponse;
	readonly verdict: Verdict;
	readonly requestId: string;
	/** Whether the connection closes after the response. */
	readonly isClosing: boolean;
	/** Time after which a refused caller may retry, for dialects whose retry-after header allows fractions of a second. */
	readonly retryAfterMilliseconds: number;
};

/**
 * Sends a response that the entry makes itself from a verdict.
 * @param options - Verdict and response to the caller.
 */
export function sendVerdict(options: VerdictResponse): void {
	const {
		dialect, response, verdict, requestId, isClosing,
	} = options;
	const reason = verdict.kind === 'ran' ? '' : verdict.reason;
	const status = getVerdictStatus(verdict);
	const body = Buffer.from(`${JSON.stringify({verdict: getVerdictHeaderValue(verdict), reason, requestId})}\n`);
	const headers = [
		'content-type',
		'application/json',
		'content-length',
		String(body.length),
	];
	if (dialect.hasVerdictHeaders) {
		headers.push(verdictHeader, getVerdictHeaderValue(verdict), reasonHeader, reason);
	}

	headers.push(dialect.requestIdHeader, requestId);
	if (status === 503 || status === 429) {
		headers.push('retry-after', getRetryAfter(dialect, status, options.retryAfterMilliseconds));
	}

	if (isClosing) {
		headers.push('connection', 'close');
	}

	response.writeHead(status, headers as never);
	response.end(body);
}

/** Gets the value of the Retry-After header. The standard one has whole seconds, and a quota must be available again after them. */
function getRetryAfter(dialect: Dialect, status: number, milliseconds: number): string {
	const seconds = milliseconds / millisecondsPerSecond;
	if (!dialect.hasVerdictHeaders) {
		return seconds.toFixed(3);
	}

	return String(status === 429 ? Math.max(minimumRetryAfterSeconds, Math.ceil(seconds)) : minimumRetryAfterSeconds);
}

/**
 * Writes the head of a server's response.
 * @param dialect - Header dialect of the caller.
 * @param response - Response to the caller.
 * @param head - Status and headers of the server's response.
 * @param requestId - Id of the request.
 * @param isClosing - Whether the connection closes after the response; required for a body without a length if the caller does not know chunks.
 */
export function writeResponseHead(dialect: Dialect, response: ServerResponse, head: ResponseHead, requestId: string, isClosing: boolean): void {
	const headers = [...head.headers, dialect.requestIdHeader, requestId];
	if (isClosing) {
		headers.push('connection', 'close');
	}

	response.writeHead(head.status, headers as never);
}

/** Response of a server that is too large to buffer. */
export type StreamedResponse = {
	readonly response: ServerResponse;
	/** Receiver of the body: the response to the caller, or one that is paced. */
	readonly target: BodyTarget;
	/** Chunks of the body that were received so far. */
	readonly chunks: readonly Buffer[];
	/** Source of the remaining body. */
	readonly rest: IncomingMessage;
	/** Time in milliseconds by which the response must have ended. */
	readonly deadlineAt: number;
	/** Maximum size of the body in bytes; a larger one is broken off. */
	readonly maximumBytes: number;
	readonly completion: ResponseCompletion;
	/** Whether the caller sees the end of the body by its length or its last chunk, not by the end of the connection. */
	readonly isFramed: boolean;
	/** Called at the end with whether the body was complete. */
	onEnd(isWhole: boolean): void;
};

/**
 * Streams the body of a response whose head is written. The response ends only when the body is complete: a truncated one lacks its
 * last chunk or a part of its length, and resets the connection of a caller that knows neither.
 * @param streamed - Body of the server's response and response to the caller.
 */
export function streamResponse(streamed: StreamedResponse): void {
	const {response, target, rest} = streamed;
	let receivedBytes = 0;
	function countBytes(chunk: Buffer): void {
		receivedBytes += chunk.length;
		if (receivedBytes > streamed.maximumBytes) {
			rest.destroy();
		}
	}

	const relay = relayBody(rest, target);
	for (const chunk of streamed.chunks) {
		countBytes(chunk);
		relay.add(chunk);
	}

	rest.on('data', countBytes);

	const timer = setTimeout(() => {
		rest.destroy();
	}, Math.max(0, streamed.deadlineAt - performance.now()));
	response.once('close', () => {
		clearTimeout(timer);
		if (!rest.complete) {
			rest.destroy();
		}
	});
	rest.once('close', () => {
		clearTimeout(timer);
		const isComplete = streamed.completion.isComplete();
		if (isComplete) {
			relay.flush();
			target.end();
		} else {
			breakOff(response, streamed.isFramed);
		}

		streamed.onEnd(isComplete);
	});
}

/**
 * Checks whether only the end of the connection can mark the end of a response's body, because its size is unknown and the caller does not know chunks.
 * @param response - Response to the caller.
 * @param head - Head of the server's response.
 */
export function endsWithConnection(response: ServerResponse, head: ResponseHead): boolean {
	return head.isCloseDelimited && !response.useChunkedEncodingByDefault;
}
