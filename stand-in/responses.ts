/** Sends the responses of a stand-in server: complete, truncated, followed by an unsolicited second response, or a refusal. */
import {type Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {digestHeader, getHeader, tokenHeader} from './request-record.js';

const unsolicitedResponseDelayMilliseconds = 3;
const millisecondsPerSecond = 1000;
const requestIdHeader = 'guavadeck-request-id';

/** State and load that a server reports in the headers of a response. */
export type StatusReport = {readonly state: 'cold' | 'warm' | 'leaving'; readonly load: number};

/** Request and the response to it. */
export type Exchange = {readonly request: IncomingMessage; readonly response: ServerResponse};

/** Sends a complete response with the status report, the digest of the body and the token of the caller. */
export function sendCompleteResponse({request, response}: Exchange, status: number, body: Buffer, report: StatusReport): void {
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

/** Sends the first half of a body and closes the connection. */
export function sendTruncatedResponse({request, response}: Exchange, body: Buffer): void {
	response.writeHead(200, {'content-length': body.length, [requestIdHeader]: getHeader(request, requestIdHeader) ?? ''});
	response.write(body.subarray(0, Math.floor(body.length / 2)), () => {
		response.socket?.destroy();
	});
}

/** Sends a second response that matches no request, shortly after the current one. */
export function sendUnsolicitedResponse({response}: Exchange): void {
	const {socket} = response;
	setTimeout(() => {
		socket?.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother');
	}, unsolicitedResponseDelayMilliseconds);
}

/**
 * Refuses a request with status 503 before it runs.
 * @param exchange - Request and response.
 * @param state - State of the server.
 * @param isDeclaredNotRun - Whether the response declares in a header that the request has not run.
 * @param pauseMilliseconds - Time for which the server wants no further requests, 0 for none.
 */
export function sendShedResponse({request, response}: Exchange, state: StatusReport['state'], isDeclaredNotRun: boolean, pauseMilliseconds: number): void {
	request.resume();
	response.writeHead(503, {
		'content-length': 0,
		'guavadeck-state': state,
		[requestIdHeader]: getHeader(request, requestIdHeader) ?? '',
		...(isDeclaredNotRun ? {'guavadeck-verdict': 'not-run'} : {}),
		...(pauseMilliseconds > 0 ? {'retry-after': String(pauseMilliseconds / millisecondsPerSecond)} : {}),
	});
	response.end();
}
