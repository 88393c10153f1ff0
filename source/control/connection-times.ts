/** Knows when the connections of calls were opened. */
import {type IncomingMessage, type Server} from 'node:http';
import {type Socket} from 'node:net';

/** Times of connections. */
export type ConnectionTimes = {
	/** Records the connections that a server accepts from now on. */
	watch(server: Server): void;
	/** Gets the time at which the connection of a call was accepted, in milliseconds; negative infinity if it is not known. */
	get(request: IncomingMessage): number;
};

/**
 * Creates a record without connections.
 * @param getTime - Gets the current time in milliseconds.
 */
export function createConnectionTimes(getTime: () => number): ConnectionTimes {
	const acceptedAt = new WeakMap<Socket, number>();
	return {
		watch(server) {
			server.on('connection', (socket: Socket) => {
				acceptedAt.set(socket, getTime());
			});
		},
		get: ({socket}) => acceptedAt.get(socket) ?? Number.NEGATIVE_INFINITY,
	};
}
