/** Writes the answers of a stand-in server: whole, cut short, with surplus bytes after them, or a refusal. */
import {type Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {digestHeader, getHeader, tokenHeader} from './request-record.js';

const trailingMilliseconds = 3;
const requestIdHeader = 'guavadeck-request-id';

/** What a server says of itself in an answer. */
export type SelfReport = {readonly state: 'cold' | 'warm' | 'leaving'; readonly load: number};

/** A request with the response to it. */
export type Exchange = {readonly request: IncomingMessage; readonly response: ServerResponse};

/** Writes a whole answer. */
export function answerWhole({request, response}: Exchange, status: number, body: Buffer, report: SelfReport): void {
	response.writeHead(status, {
		'content-type': 'text/plain',
		'content-length': body.length,
		'guavadeck-state': report.state,
		'guavadeck-load': String(report.load),
		[requestIdHeader]: getHeader(request, requestIdHeader) ?? '',
		[digestHeader]: createHash('sha256').update(body).digest('hex'),
		[tokenHeader]: getHeader(request, tokenHeader) ?? '',
		...(report.state === 'leaving' ? {connection: 'close'} : {}),
	});
	response.end(body);
}

/** Writes half of an answer and closes its connection. */
export function answerTruncated({request, response}: Exchange, body: Buffer): void {
	response.writeHead(200, {'content-length': body.length, [requestIdHeader]: getHeader(request, requestIdHeader) ?? ''});
	response.write(body.subarray(0, Math.floor(body.length / 2)), () => {
		response.socket?.destroy();
	});
}

/** Sends an answer that nobody asked for after the one that is written. */
export function answerAgain({response}: Exchange): void {
	const {socket} = response;
	setTimeout(() => {
		socket?.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother');
	}, trailingMilliseconds);
}

/**
 * Refuses a request that has not run.
 * @param exchange - Request and response.
 * @param state - State of the server.
 * @param isDeclared - Whether the refusal says that the request has not run.
 */
export function answerShed({request, response}: Exchange, state: SelfReport['state'], isDeclared: boolean): void {
	request.resume();
	response.writeHead(503, {
		'content-length': 0,
		'guavadeck-state': state,
		[requestIdHeader]: getHeader(request, requestIdHeader) ?? '',
		...(isDeclared ? {'guavadeck-verdict': 'not-run'} : {}),
	});
	response.end();
}
