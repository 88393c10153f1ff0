/** Resets connections at once. */
import {type Socket} from 'node:net';

/**
 * Resets a connection without its orderly end. Node's `resetAndDestroy` ends the connection in order first, so that a peer which
 * reads quickly sees only that; the flag that it sets makes `destroy` alone send the reset.
 * @param socket - Connection to reset.
 */
export function resetConnection(socket: Socket): void {
	Object.assign(socket, {resetAndClosing: true});
	socket.destroy();
}
