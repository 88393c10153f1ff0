/**
 * Checks the responses that a server sends before its final one. Node passes over each response with a status from 100 to 199, so
 * a server that means such a response as its final one would be waited for until the deadline.
 */
import {type ClientRequest, type InformationEvent} from 'node:http';
import {type Duplex} from 'node:stream';

/** Informational statuses that a server may send unasked (RFC 9110, RFC 2518, RFC 8297). */
const informationalStatuses: ReadonlySet<number> = new Set([100, 102, 103]);

/** Maximum number of informational responses to one request; a server that sends more never comes to its response. */
const maximumInformationalResponses = 16;

/** Reason for which the responses before the final one fail an attempt. */
export type InterimFault = 'answer-malformed' | 'answer-mismatched';

/**
 * Watches for a response that may not precede a final one.
 * @param request - Request to a server.
 * @param onFault - Called with the reason for which the attempt fails.
 */
export function watchInterimResponses(request: ClientRequest, onFault: (reason: InterimFault) => void): void {
	let responses = 0;
	request.on('information', response => {
		responses++;
		if (!isInformational(response)) {
			onFault('answer-malformed');
		} else if (responses > maximumInformationalResponses) {
			onFault('answer-mismatched');
		}
	});
	// Entries ask for no other protocol. Without a listener, Node would close the connection as if the server had been lost.
	request.once('upgrade', (_response, socket: Duplex) => {
		onFault('answer-malformed');
		socket.destroy();
	});
}

/** Checks whether a response is an informational one, which has no body (RFC 9110, section 15.2). */
function isInformational({statusCode, headers}: InformationEvent): boolean {
	return informationalStatuses.has(statusCode) && headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}
