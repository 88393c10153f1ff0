/**
 * Limits how much of a server's response is read in one turn of the event loop, so that a server that sends without end leaves
 * the other connections their turns. Node would read two megabytes of one connection in a turn.
 */
import {type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';

/** Bytes that are read in one turn of the event loop before the connection is paused. */
export const maximumTurnBytes = 65_536;

/**
 * Pauses or resumes the connection from which a response is read. The flag keeps Node's response, which itself is not paused, from
 * resuming the connection. A pause of the response would keep the rest of what was read in it, chunk by chunk.
 * @param socket - Connection to a server.
 * @param isPaused - Whether nothing more is read.
 */
export function setPaused(socket: Socket, isPaused: boolean): void {
	Object.assign(socket, {_paused: isPaused});
	if (isPaused) {
		socket.pause();
	} else {
		socket.resume();
	}
}

/**
 * Limits the turns of a response that is being read. The returned function ends the limit.
 * @param response - Response of a server.
 */
export function limitTurns(response: IncomingMessage): () => void {
	const {socket} = response;
	let readBytesAtTurn = socket.bytesRead;
	let nextTurn: NodeJS.Immediate | undefined;

	function startTurn(): void {
		nextTurn = undefined;
		readBytesAtTurn = socket.bytesRead;
		setPaused(socket, false);
	}

	function onData(): void {
		if (nextTurn === undefined && socket.bytesRead - readBytesAtTurn > maximumTurnBytes) {
			setPaused(socket, true);
			nextTurn = setImmediate(startTurn);
		}
	}

	function stop(): void {
		response.off('data', onData);
		response.off('end', stop);
		if (nextTurn !== undefined) {
			clearImmediate(nextTurn);
			startTurn();
		}
	}

	response.on('data', onData);
	response.once('end', stop);
	return stop;
}
