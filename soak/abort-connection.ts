import {type Socket} from 'node:net';
import {resetConnection} from '../source/entry/http/connection-reset.js';

/**
 * Resets a connection, or closes it if its orderly end has begun, since Node does not close a socket that it cannot reset.
 * @param socket - Connection.
 */
export function abortConnection(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		resetConnection(socket);
	}
}
