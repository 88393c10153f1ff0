/**
 * Orders the requests that callers send behind one another on a connection. Idempotent requests run at the same time, and their
 * responses are sent in the order of the requests. A request that must not run twice waits until all earlier responses are sent,
 * because a caller sends a request again, of whichever kind, when a response before it closes the connection. For the same
 * reason no response announces the end of a connection while a later request of it runs, and a request behind such a
 * response is dropped without being forwarded.
 */
import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {discardLimits} from '../../bytes/index.js';
import {getContentLength, MalformedBodyError} from '../http/index.js';

/** Maximum number of requests of one connection that run at the same time. */
const maximumRunning = 8;

/** Number of waiting requests of one connection at which it is no longer read. */
const maximumWaiting = 16;

/** Request of a caller with its response. */
export type Exchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	/** Time in milliseconds at which the request was read. */
	readonly arrivedAt: number;
	/**
	 * Decides, when the head of the response is written, whether the connection closes after it.
	 * @param isRequired - Whether the response has no other end than that of the connection.
	 */
	decideClose(isRequired: boolean): boolean;
};

/** Connections of callers. */
export type CallerConnections = {
	/** Starts the request as soon as the earlier ones of its connection allow it. */
	accept(request: IncomingMessage, response: ServerResponse): void;
	/** Sends a raw response to a malformed request after the responses that are due, and ends the connection. */
	reject(socket: Socket, rawResponse: string): void;
	/** Gets the number of requests that are waiting or whose response is not sent completely. */
	getOpenCount(): number;
	/** Closes the connections without a request. */
	closeIdle(): void;
};

/** Closes the connection of a request only after its body: closing it with unread bytes would reset it, and the response could be lost. */
function closeAfterBody(request: IncomingMessage): void {
	const {socket} = request;
	const destroySoon = socket.destroySoon.bind(socket);
	socket.destroySoon = () => {
		socket.end();
		if (request.readableEnded) {
			destroySoon();
		} else {
			request.once('end', destroySoon);
		}
	};
}

/** Options of `createCallerConnections`. */
export type CallerConnectionsOptions = {
	readonly server: Server;
	/** Checks whether connections close after their next response. */
	isDraining(): boolean;
	/** Checks whether a request may run while other requests of its connection do. */
	isIdempotent(request: IncomingMessage): boolean;
	/** Handles a request. */
	handle(exchange: Exchange): void;
};

type Connection = {
	readonly waiting: Exchange[];
	readonly running: Exchange[];
	/** Whether a response announces the end of the connection, so that later requests are dropped. */
	isClosing: boolean;
	/** Raw response that is sent after the responses that are due. */
	rejection: string | undefined;
};

/**
 * Creates the connections of a server.
 * @param options - Server and decisions of the entry.
 */
export function createCallerConnections(options: CallerConnectionsOptions): CallerConnections {
	const connections = new Map<Socket, Connection>();

	function getConnection(socket: Socket): Connection {
		const existing = connections.get(socket);
		if (existing !== undefined) {
			return existing;
		}

		const connection: Connection = {
			waiting: [], running: [], isClosing: false, rejection: undefined,
		};
		connections.set(socket, connection);
		socket.once('close', () => {
			connections.delete(socket);
			abandon(connection);
		});
		return connection;
	}

	/** Ends all exchanges of a lost connection. Node reports the loss only to the response that is being sent. */
	function abandon(connection: Connection): void {
		connection.waiting.length = 0;
		const abandonedExchanges = [...connection.running];
		for (const {response} of abandonedExchanges) {
			if (!response.destroyed) {
				response.destroy();
				response.emit('close');
			}
		}
	}

	function createExchange(connection: Connection, request: IncomingMessage, response: ServerResponse): Exchange {
		request.on('error', () => {
			// The reader of the body handles the error; without a reader it does not matter.
		});
		const exchange: Exchange = {
			request,
			response,
			arrivedAt: performance.now(),
			decideClose(isRequired) {
				const isLast = connection.running.at(-1) === exchange;
				const isMalformed = connection.rejection !== undefined && !request.complete;
				const isUnreadable = !request.complete && (getContentLength(request) ?? 0) > discardLimits.maximumBytes;
				const isClosing = isRequired || isMalformed || isUnreadable || (options.isDraining() && isLast);
				connection.isClosing ||= isClosing;
				if (isClosing && !request.complete) {
					closeAfterBody(request);
				}

				return isClosing;
			},
		};
		return exchange;
	}

	function mayStart(connection: Connection, {request}: Exchange): boolean {
		if (connection.running.length === 0) {
			return true;
		}

		// While the entry stops, a request behind running ones waits, and is dropped unread when their last response ends the connection.
		return !options.isDraining()
			&& connection.running.length < maximumRunning
			&& options.isIdempotent(request)
			&& connection.running.every(other => options.isIdempotent(other.request));
	}

	function start(connection: Connection, exchange: Exchange): void {
		connection.running.push(exchange);
		exchange.response.once('close', () => {
			connection.running.splice(connection.running.indexOf(exchange), 1);
			startWaiting(exchange.request.socket, connection);
		});
		options.handle(exchange);
	}

	function startWaiting(socket: Socket, connection: Connection): void {
		if (connection.isClosing) {
			connection.waiting.length = 0;
			return;
		}

		while (connection.waiting.length > 0 && mayStart(connection, connection.waiting[0]!)) {
			start(connection, connection.waiting.shift()!);
		}

		if (connection.running.length === 0 && connection.waiting.length === 0) {
			sendRejection(socket, connection);
		} else if (connection.waiting.length < maximumWaiting && socket.isPaused()) {
			socket.resume();
		}
	}

	function sendRejection(socket: Socket, connection: Connection): void {
		if (connection.rejection !== undefined) {
			connection.isClosing = true;
			socket.end(connection.rejection);
			// The caller may read the response, but must not go on sending for ever.
			setTimeout(() => {
				socket.destroy();
			}, discardLimits.maximumMilliseconds);
		}
	}

	function isIdle({running, waiting}: Connection): boolean {
		return running.length === 0 && waiting.length === 0;
	}

	options.server.on('connection', socket => {
		getConnection(socket);
	});

	return {
		accept(request, response) {
			const connection = getConnection(request.socket);
			if (connection.isClosing || connection.rejection !== undefined) {
				return;
			}

			connection.waiting.push(createExchange(connection, request, response));
			if (connection.waiting.length >= maximumWaiting) {
				request.socket.pause();
			}

			startWaiting(request.socket, connection);
		},
		reject(socket, rawResponse) {
			const connection = getConnection(socket);
			if (connection.isClosing || connection.rejection !== undefined) {
				return;
			}

			connection.rejection = rawResponse;
			const isWaiting = connection.waiting.at(-1)?.request.complete === false;
			if (isWaiting) {
				connection.waiting.pop();
			}

			// The body of a running request is malformed: the response to that request ends the connection.
			const running = isWaiting ? undefined : connection.running.at(-1);
			if (running?.request.complete === false) {
				running.request.emit('error', new MalformedBodyError('the body is malformed'));
			}

			if (isIdle(connection)) {
				sendRejection(socket, connection);
			}
		},
		getOpenCount: () => [...connections.values()].reduce((sum, {running, waiting}) => sum + running.length + waiting.length, 0),
		closeIdle() {
			for (const [socket, connection] of connections) {
				if (isIdle(connection)) {
					socket.destroySoon();
				}
			}
		},
	};
}
