/** Writes answers to callers. */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {
	getHeaderValue, getStatus, reasonHeader, verdictHeader, type Verdict,
} from '../verdict/index.js';
import {type AnswerHead} from './attempt.js';
import {requestIdHeader} from './headers.js';

const retryAfterSeconds = '1';

/** How the entry treats the caller's connection. */
export type ConnectionPolicy = {
	/** Whether the connection ends with the answer, because the entry is stopping. */
	isClosing(): boolean;
};

/**
 * Answers with a verdict of the entry's own.
 * @param response - Response to end.
 * @param verdict - Verdict to express.
 * @param requestId - Id of the request.
 * @param isClosing - Whether the connection ends with the answer.
 */
export function answerVerdict(response: ServerResponse, verdict: Verdict, requestId: string, isClosing: boolean): void {
	const reason = verdict.kind === 'ran' ? '' : verdict.reason;
	const status = getStatus(verdict);
	const body = Buffer.from(`${JSON.stringify({verdict: getHeaderValue(verdict), reason, requestId})}\n`);
	const headers = [
		'content-type',
		'application/json',
		'content-length',
		String(body.length),
		verdictHeader,
		getHeaderValue(verdict),
		reasonHeader,
		reason,
		requestIdHeader,
		requestId,
	];
	if (status === 503) {
		headers.push('retry-after', retryAfterSeconds);
	}

	if (isClosing) {
		headers.push('connection', 'close');
	}

	response.writeHead(status, headers as never);
	response.end(body);
}

/**
 * Writes the head of a server's answer.
 * @param response - Response to the caller.
 * @param head - Status and headers of the server's answer.
 * @param requestId - Id of the request.
 * @param isClosing - Whether the connection ends with the answer.
 */
export function writeHead(response: ServerResponse, head: AnswerHead, requestId: string, isClosing: boolean): void {
	const headers = [...head.headers, requestIdHeader, requestId];
	if (isClosing) {
		headers.push('connection', 'close');
	}

	response.writeHead(head.status, headers as never);
}
