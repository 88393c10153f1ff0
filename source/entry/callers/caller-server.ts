/** HTTP server for callers: limits what a connection may send, and responds to what is not a request. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Duplex} from 'node:stream';
import {type Socket} from 'node:net';
import {type ClientLimits} from '../../configuration/index.js';
import {discardBody} from '../../bytes/index.js';
import {joinChunks} from '../http/index.js';
import {createCallerConnections, type CallerConnections, type CallerConnectionsOptions} from './caller-connections.js';

const keepAliveMilliseconds = 65_000;

/** Shortest time for which idle connections stay open; to Node, 0 means for ever. */
const minimumKeepAliveMilliseconds = 1;

const headersTimeoutMilliseconds = 10_000;
const requestTimeoutMilliseconds = 60_000;

/** Margin that is added to the document's limit for receiving headers, since the entry's own delays count towards it, in milliseconds. */
const headersMarginMilliseconds = 1000;

/** Margin that is added to the limit of the size of headers in the parser, which counts other bytes than the entry's own check. */
const parserMarginBytes = 1024;

/** Server for callers. */
export type CallerServer = {
	readonly server: Server;
	readonly connections: CallerConnections;
	/** Applies the document's limits for callers' connections. */
	applyLimits(limits: ClientLimits | undefined): void;
};

/** Options of `createCallerServer`. */
export type CallerServerOptions = Omit<CallerConnectionsOptions, 'server'> & {
	readonly maximumHeaderBytes: number;
};

/**
 * Creates a server that does not listen yet.
 * @param options - Limits and decisions of the entry.
 */
export function createCallerServer(options: CallerServerOptions): CallerServer {
	const server = createServer({
		maxHeaderSize: options.maximumHeaderBytes + parserMarginBytes,
		keepAliveTimeout: keepAliveMilliseconds,
		headersTimeout: headersTimeoutMilliseconds,
		requestTimeout: requestTimeoutMilliseconds,
		noDelay: true,
	});
	const connections = createCallerConnections({
		...options,
		server,
		handle(exchange) {
			const {request, response} = exchange;
			response.once('finish', () => {
				discardBody(request);
			});
			options.handle(exchange);
		},
	});
	// Node would drop the headers beyond the first 1,000; their size is limited instead.
	server.maxHeadersCount = 0;
	function accept(request: IncomingMessage, response: ServerResponse): void {
		joinChunks(request);
		connections.accept(request, response);
	}

	server.on('request', accept);
	server.on('checkContinue', accept);
	server.on('upgrade', (_request, socket) => {
		connections.reject(socket as Socket, getRawRefusal('400 Bad Request'));
	});
	server.on('connect', (_request, socket) => {
		connections.reject(socket as Socket, getRawRefusal('405 Method Not Allowed'));
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
		if (error.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request';
		connections.reject(socket as Socket, getRawRefusal(status));
	});
	// Node's own method also closes connections whose response is not sent completely.
	server.closeIdleConnections = connections.closeIdle;

	return {
		server,
		connections,
		applyLimits(limits) {
			server.keepAliveTimeout = Math.max(minimumKeepAliveMilliseconds, limits?.idleMilliseconds ?? keepAliveMilliseconds);
			server.headersTimeout = limits === undefined ? headersTimeoutMilliseconds : limits.headerMilliseconds + headersMarginMilliseconds;
			// Node applies the size to new connections. Larger heads are refused before they are read to their end.
			Object.assign(server, {maxHeaderSize: (limits?.headerBytes ?? options.maximumHeaderBytes) + parserMarginBytes});
		},
	};
}

function getRawRefusal(status: string): string {
	return `HTTP/1.1 ${status}\r\nguavadeck-verdict: not-run\r\nguavadeck-reason: bad-request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`;
}
