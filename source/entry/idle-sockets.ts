/**
 * Destroys idle connections on which a server sends data. No request waits on them, so the data would be read as the response to
 * the next request.
 */
import {type Agent, type ClientRequest} from 'node:http';
import {type Socket} from 'node:net';

/** Methods of Node's `Agent` that decide on idle connections. */
type IdleMethods = {
	keepSocketAlive(socket: Socket): boolean;
	reuseSocket(socket: Socket, request: ClientRequest): void;
};

function destroyOnIdleData(this: Socket): void {
	this.destroy();
}

/**
 * Lets an agent destroy an idle connection that receives data.
 * @param agent - Agent that keeps connections.
 * @param onIdle - Called with a connection that becomes idle.
 */
export function guardIdleSockets(agent: Agent, onIdle?: (socket: Socket) => void): void {
	const original = agent as unknown as IdleMethods;
	const keepSocketAlive = original.keepSocketAlive.bind(agent);
	const reuseSocket = original.reuseSocket.bind(agent);
	const methods: IdleMethods = {
		keepSocketAlive(socket) {
			const isKept = keepSocketAlive(socket);
			if (isKept) {
				socket.on('data', destroyOnIdleData);
				onIdle?.(socket);
			}

			return isKept;
		},
		reuseSocket(socket, request) {
			socket.off('data', destroyOnIdleData);
			reuseSocket(socket, request);
		},
	};
	Object.assign(agent, methods);
}
