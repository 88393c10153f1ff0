/**
 * Keep-alive connections to one server. A request gets its socket only once it is
 * connected, so that the lease is checked in the turn in which the first byte is
 * written. A socket on which bytes arrive while it is idle is destroyed.
 */
import {Agent, type AgentOptions, type ClientRequest} from 'node:http';
import {connect, type Socket} from 'node:net';
import {type Duplex} from 'node:stream';

const connectTimeoutMilliseconds = 1000;

type SocketCallback = (error: Error | undefined, socket?: Duplex) => void;

/** Methods of Node's agent that a pool replaces. */
type AgentMethods = {
	getName(): string;
	createConnection(options: unknown, callback: SocketCallback): undefined;
	keepSocketAlive(socket: Socket): boolean;
	reuseSocket(socket: Socket, request: ClientRequest): void;
};

/** Destroys a socket on which a server sends bytes that nobody asked for. */
function rejectIdleData(this: Socket): void {
	this.destroy();
}

/** Time by which an idle connection is given up before its server would close it, in milliseconds. */
const idleMarginMilliseconds = 2000;

/** Lets an idle connection end well before its server closes it, so that no request meets that close. */
function shortenIdleTime(socket: Socket): void {
	const {timeout} = socket;
	if (timeout !== undefined && timeout > 0) {
		socket.setTimeout(Math.max(timeout / 2, timeout - idleMarginMilliseconds));
	}
}

/** Connects, and hands the socket out only once it is connected. */
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

function createAgent(host: string, port: number, options: AgentOptions): Agent {
	const agent = new Agent(options);
	const original = agent as unknown as AgentMethods;
	const keepSocketAlive = original.keepSocketAlive.bind(agent);
	const reuseSocket = original.reuseSocket.bind(agent);
	const methods: AgentMethods = {
		getName: () => '',
		createConnection(_options, callback) {
			connectSocket(host, port, callback);
			return undefined;
		},
		keepSocketAlive(socket) {
			const isKept = keepSocketAlive(socket);
			if (isKept) {
				socket.on('data', rejectIdleData);
				shortenIdleTime(socket);
			}

			return isKept;
		},
		reuseSocket(socket, request) {
			socket.off('data', rejectIdleData);
			reuseSocket(socket, request);
		},
	};
	Object.assign(agent, methods);
	return agent;
}

/** Connections to one server. */
export type Pool = {
	readonly agent: Agent;
	/** Checks an answer's request id; a server that has repeated one must repeat each one. */
	isOwnResponse(requestId: string, echoedId: string | undefined): boolean;
	close(): void;
};

/**
 * Creates a pool.
 * @param host - IP number of the server.
 * @param port - Port of the server.
 * @param connections - Connections at most.
 */
export function createPool(host: string, port: number, connections: number): Pool {
	const agent = createAgent(host, port, {
		keepAlive: true, maxSockets: connections, maxFreeSockets: connections, scheduling: 'lifo',
	});
	let hasEchoedId = false;
	return {
		agent,
		isOwnResponse(requestId, echoedId) {
			hasEchoedId ||= echoedId !== undefined;
			return !hasEchoedId || echoedId === requestId;
		},
		close() {
			agent.destroy();
		},
	};
}
