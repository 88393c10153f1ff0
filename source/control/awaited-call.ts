/** Tells whether the sender of a call still waits for its response. */
import {type IncomingMessage} from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';

/**
 * Checks whether the sender of a call has kept its connection open. The close of a connection is read after the call itself, so
 * the check lets the event loop read once more.
 * @param request - Call of the sender.
 */
export async function isCallAwaited({socket}: IncomingMessage): Promise<boolean> {
	// The event loop reads from sockets between two immediates.
	await nextTurn();
	await nextTurn();
	return !socket.destroyed && !socket.readableEnded;
}
