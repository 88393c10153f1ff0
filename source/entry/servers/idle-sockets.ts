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

/** Callbacks for idle connections. */
export type IdleSocketEvents = {
	/** Called with a connection that becomes idle. */
	onIdle?(socket: Socket): void;
	/** Called with an idle connection that receives data, before it is destroyed. */
	onData?(socket: Socket): void;
};

/**
 * Lets an agent destroy an idle connection that receives data.
 * @param agent - Agent that keeps connections.
 * @param events - Callbacks.
 */
export function guardIdleSockets(agent: Agent, events: IdleSocketEvents = {}): void {
	function destroyOnIdleData(this: Socket): void {
		events.onData?.(this);
		this.destroy();
	}

	const original = agent as unknown as IdleMethods;
	const keepSocketAlive = original.keepSocketAlive.bind(agent);
	const reuseSocket = original.reuseSocket.bind(agent);
	const methods: IdleMethods = {
		keepSocketAlive(socket) {
			const isKept = keepSocketAlive(socket);
			if (isKept) {
				socket.on('data', destroyOnIdleData);
				events.onIdle?.(socket);
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
