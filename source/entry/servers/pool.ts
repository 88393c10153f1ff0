/**
 * Keep-alive connections to one server. A request is assigned its socket only once the socket is
 * connected, so that the lease is checked in the same event-loop turn that writes the first byte.
 */
import {Agent, type AgentOptions} from 'node:http';
import {connect, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {createConnectionHistories, type ConnectionHistories, type ConnectionHistory} from './connection-history.js';
import {guardIdleSockets} from './idle-sockets.js';

const connectTimeoutMilliseconds = 1000;

type SocketCallback = (error: Error | undefined, socket?: Socket) => void;
type Address = {readonly host: string; readonly port: number};

/** Methods of Node's `Agent` that a pool overrides. */
type AgentMethods = {
	getName(): string;
	createConnection(options: unknown, callback: SocketCallback): undefined;
};

/** Time before the server's idle timeout at which the pool closes an idle connection, in milliseconds. */
const idleMarginMilliseconds = 2000;

/** Closes an idle connection well before the server does, so that no request is sent on a connection that is being closed. */
function shortenIdleTimeout(socket: Socket): void {
	const {timeout} = socket;
	if (timeout !== undefined && timeout > 0) {
		socket.setTimeout(Math.max(timeout / 2, timeout - idleMarginMilliseconds));
	}
}

/** Connects to a server and passes the socket to the callback only once it is connected. */
function connectSocket(host: string, port: number, callback: SocketCallback): void {
	const socket = connect({host, port, noDelay: true});
	let isSettled = false;
	function settle(error: Error | undefined): void {
		if (isSettled) {
			return;
		}

		isSettled = true;
		clearTimeout(timer);
		callback(error, error === undefined ? socket : undefined);
	}

	const timer = setTimeout(() => {
		settle(new Error('connect timed out'));
		socket.destroy();
	}, connectTimeoutMilliseconds);
	socket.once('connect', () => {
		socket.off('error', settle);
		settle(undefined);
	});
	socket.once('error', settle);
}

function createAgent({host, port}: Address, options: AgentOptions, onConnect: (socket: Socket) => void, onIdleData: (socket: Socket) => void): Agent {
	const agent = new Agent(options);
	const methods: AgentMethods = {
		getName: () => '',
		createConnection(_options, callback) {
			connectSocket(host, port, (error, socket) => {
				if (socket !== undefined) {
					onConnect(socket);
				}

				callback(error, socket);
			});
			return undefined;
		},
	};
	Object.assign(agent, methods);
	guardIdleSockets(agent, {onIdle: shortenIdleTimeout, onData: onIdleData});
	return agent;
}

/** A pool of connections to one server. */
export type Pool = {
	readonly agent: Agent;
	readonly histories: ConnectionHistories;
	/** Checks the request id that a response of a server repeats that may leave it out. Once it has repeated one id, each of its responses must repeat its request's id. */
	mayBeOwnResponse(requestId: string, repeatedId: string | undefined): boolean;
	close(): void;
};

/** Callbacks for the connections of a pool. */
export type PoolEvents = {
	/** Called with the history of an idle connection on which the server sent data. */
	onUnsolicitedData?(history: ConnectionHistory): void;
	/** Called with each new connection. */
	onConnect?(socket: Socket): void;
};

/**
 * Creates a pool.
 * @param host - IP address of the server.
 * @param port - Port of the server.
 * @param connections - Maximum number of connections.
 * @param events - Callbacks for the connections.
 */
export function createPool(host: string, port: number, connections: number, events: PoolEvents = {}): Pool {
	const histories = createConnectionHistories(() => performance.now());
	const agent = createAgent({host, port}, {
		keepAlive: true, maxSockets: connections, maxFreeSockets: connections, scheduling: 'lifo',
	}, socket => {
		events.onConnect?.(socket);
	}, socket => {
		events.onUnsolicitedData?.(histories.get(socket));
	});
	let hasRepeatedId = false;
	return {
		agent,
		histories,
		mayBeOwnResponse(requestId, repeatedId) {
			hasRepeatedId ||= repeatedId !== undefined;
			return !hasRepeatedId || repeatedId === requestId;
		},
		close() {
			agent.destroy();
		},
	};
}
