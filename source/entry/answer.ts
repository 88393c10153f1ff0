/** Writes answers to callers. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {
	getHeaderValue, getStatus, reasonHeader, verdictHeader, type Verdict,
} from '../verdict/index.js';
import {endsWhole, type AnswerHead} from './attempt.js';
import {type Dialect} from './dialect.js';

const retryAfterSeconds = '1';

/**
 * Time after which callers of a dialect that knows fractions may return, in seconds: about
 * as long as servers take to change between slow and quiet, spread so that they do not
 * return together.
 */
const shortestReturnSeconds = 0.08;
const returnSpreadSeconds = 0.14;
const largestShare = 65_535;

/** Gets the time after which the caller of a request may return; ids are random, so that callers spread. */
function getReturnSeconds(requestId: string): string {
	const share = createHash('sha256').update(requestId).digest().readUInt16BE(0) / largestShare;
	return (shortestReturnSeconds + (share * returnSpreadSeconds)).toFixed(3);
}

/** How the entry treats the caller's connection. */
export type ConnectionPolicy = {
	/** Whether the connection ends with the answer, because the entry is stopping. */
	isClosing(): boolean;
};

/**
 * Answers with a verdict of the entry's own.
 * @param dialect - Dialect of the caller.
 * @param response - Response to end.
 * @param verdict - Verdict to express.
 * @param requestId - Id of the request.
 * @param isClosing - Whether the connection ends with the answer.
 */
export function answerVerdict(dialect: Dialect, response: ServerResponse, verdict: Verdict, requestId: string, isClosing: boolean): void {
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
		headers.push('retry-after', dialect.hasVerdictHeaders ? retryAfterSeconds : getReturnSeconds(requestId));
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
export function writeHead(dialect: Dialect, response: ServerResponse, head: AnswerHead, requestId: string, isClosing: boolean): void {
	const headers = [...head.headers, dialect.requestIdHeader, requestId];
	if (isClosing || head.isUnmeasured) {
		headers.push('connection', 'close');
	}

	// A body whose length nobody told must not look whole by a length of ours.
	response.useChunkedEncodingByDefault = !head.isUnmeasured;
	response.writeHead(head.status, headers as never);
}

/** A server's answer that is too large to hold. */
export type StreamedAnswer = {
	readonly response: ServerResponse;
	/** First bytes of the body. */
	readonly chunks: readonly Buffer[];
	/** Rest of the body. */
	readonly rest: IncomingMessage;
	/** Time in milliseconds at which the answer must have ended. */
	readonly deadlineAt: number;
	readonly head: AnswerHead;
	/** Called at the end with whether the body was whole. */
	ended(isWhole: boolean): void;
};

/**
 * Streams an answer whose head is written; a truncated one resets the caller's connection.
 * @param answer - Answer and response.
 */
export function streamAnswer(answer: StreamedAnswer): void {
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
		const isWhole = endsWhole(rest, answer.head);
		if (!isWhole) {
			response.destroy();
		}

		answer.ended(isWhole);
	});
	rest.pipe(response);
}
