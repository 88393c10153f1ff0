/** Writes answers to callers. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {
	getHeaderValue, getStatus, reasonHeader, verdictHeader, type Verdict,
} from '../verdict/index.js';
import {type ResponseHead} from './attempt.js';
import {type Dialect} from './dialect.js';
import {type ResponseCompletion} from './completion.js';

const retryAfterSeconds = '1';
const largestShare = 65_535;
const millisecondsPerSecond = 1000;

/**
 * Gets a number from 0 to 1 that spreads returning callers; ids are random.
 * @param requestId - Id of the caller's request.
 */
export function getRetrySpread(requestId: string): number {
	return createHash('sha256').update(requestId).digest().readUInt16BE(0) / largestShare;
}

/** How the entry treats the caller's connection. */
export type ConnectionPolicy = {
	/** Whether the connection ends with the answer, because the entry is stopping. */
	isClosing(): boolean;
};

/** An answer of the entry's own. */
export type VerdictResponse = {
	/** Dialect of the caller. */
	readonly dialect: Dialect;
	/** Response to end. */
	readonly response: ServerResponse;
	readonly verdict: Verdict;
	readonly requestId: string;
	/** Whether the connection ends with the answer. */
	readonly isClosing: boolean;
	/** Time after which a refused caller may return, in milliseconds, for dialects that know fractions of seconds. */
	readonly retryAfterMilliseconds: number;
};

/**
 * Answers with a verdict of the entry's own.
 * @param answer - Verdict, and the caller that takes it.
 */
export function sendVerdict(answer: VerdictResponse): void {
	const {
		dialect, response, verdict, requestId, isClosing,
	} = answer;
	const reason = verdict.kind === 'ran' ? '' : verdict.reason;
	const status = getStatus(verdict);
	const body = Buffer.from(`${JSON.stringify({verdict: getHeaderValue(verdict), reason, requestId})}\n`);
	const headers = [
		'content-type',
		'application/json',
		'content-length',
		String(body.length),
	];
	if (dialect.hasVerdictHeaders) {
		headers.push(verdictHeader, getHeaderValue(verdict), reasonHeader, reason);
	}

	headers.push(dialect.requestIdHeader, requestId);
	if (status === 503) {
		headers.push('retry-after', dialect.hasVerdictHeaders ? retryAfterSeconds : (answer.retryAfterMilliseconds / millisecondsPerSecond).toFixed(3));
	}

	if (isClosing) {
		headers.push('connection', 'close');
	}

	response.writeHead(status, headers as never);
	response.end(body);
}

/**
 * Writes the head of a server's answer.
 * @param dialect - Dialect of the caller.
 * @param response - Response to the caller.
 * @param head - Status and headers of the server's answer.
 * @param requestId - Id of the request.
 * @param isClosing - Whether the connection ends with the answer.
 */
export function writeResponseHead(dialect: Dialect, response: ServerResponse, head: ResponseHead, requestId: string, isClosing: boolean): void {
	const headers = [...head.headers, dialect.requestIdHeader, requestId];
	if (isClosing || head.isCloseDelimited) {
		headers.push('connection', 'close');
	}

	// A body whose length nobody told must not look whole by a length of ours.
	response.useChunkedEncodingByDefault = !head.isCloseDelimited;
	response.writeHead(head.status, headers as never);
}

/** A server's answer that is too large to hold. */
export type StreamedResponse = {
	readonly response: ServerResponse;
	/** First bytes of the body. */
	readonly chunks: readonly Buffer[];
	/** Rest of the body. */
	readonly rest: IncomingMessage;
	/** Time in milliseconds at which the answer must have ended. */
	readonly deadlineAt: number;
	/** Tells whether the body was whole. */
	readonly completion: ResponseCompletion;
	/** Called at the end with whether the body was whole. */
	onEnd(isWhole: boolean): void;
};

/**
 * Streams an answer whose head is written; a truncated one resets the caller's connection.
 * @param answer - Answer and response.
 */
export function streamResponse(answer: StreamedResponse): void {
	const {response, rest} = answer;
	for (const chunk of answer.chunks) {
		response.write(chunk);
	}

	const timer = setTimeout(() => {
		rest.destroy();
	}, Math.max(0, answer.deadlineAt - performance.now()));
	response.once('close', () => {
		clearTimeout(timer);
		if (!rest.complete) {
			rest.destroy();
		}
	});
	rest.once('close', () => {
		clearTimeout(timer);
		const isWhole = answer.completion.isComplete();
		if (!isWhole) {
			response.destroy();
		}

		answer.onEnd(isWhole);
	});
	rest.pipe(response);
}
