/** Calls of operators, as the API of a control host receives them: just the part of Node's requests and responses that it uses. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Api} from '../../source/control/index.js';

/** Call of an operator. */
export type Call = {
	readonly method: string;
	readonly path: string;
	readonly body?: string;
	readonly sender: string;
	/** Host that the call is sent to, as `host:port`. */
	readonly host: string;
};

/** Response to a call; status 0 if there was none. */
export type CallResponse = {readonly status: number; readonly text: string; readonly location?: string};

/** Connection that a call came on, as its host sees it. */
export type CallConnection = {readonly openedAt: number; isClosed: boolean};

type CallSocket = {readonly openedAt: number};

/**
 * Gets the time at which the connection of a call was opened.
 * @param request - Request as the API received it.
 */
export function getOpenedAt({socket}: IncomingMessage): number {
	return (socket as unknown as CallSocket).openedAt;
}

/**
 * Has an API handle a call.
 * @param api - API of the host.
 * @param call - Call to handle.
 * @param connection - Connection of the call.
 * @param respond - Sends the response.
 */
export function handleCall(api: Api, call: Call, connection: CallConnection, respond: (response: CallResponse) => void): void {
	const [localAddress, localPort] = call.host.split(':');
	const socket = {
		get destroyed() {
			return connection.isClosed;
		},
		get readableEnded() {
			return connection.isClosed;
		},
		openedAt: connection.openedAt,
		localAddress,
		localPort: Number(localPort),
		remoteAddress: call.sender,
		remotePort: 1,
	};
	const request = {
		method: call.method,
		url: call.path,
		headers: {},
		complete: true,
		readableEnded: true,
		socket,
		resume() {
			// There is nothing to read.
		},
		destroy() {
			// The body is complete.
		},
		async * [Symbol.asyncIterator]() {
			yield Buffer.from(call.body ?? '');
		},
	};
	let status = 0;
	let location: string | undefined;
	let onFinish: (() => void) | undefined;
	const response = {
		headersSent: false,
		setHeader(name: string, value: string) {
			location = name === 'location' ? value : location;
		},
		once(_event: 'finish', run: () => void) {
			onFinish = run;
		},
		writeHead(code: number) {
			status = code;
			response.headersSent = true;
		},
		end(text: Uint8Array | string) {
			respond({status, text: Buffer.from(text).toString('utf8'), location});
			onFinish?.();
		},
	};
	void api(request as unknown as IncomingMessage, response as unknown as ServerResponse);
}
