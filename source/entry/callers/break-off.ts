/** Ends responses that are not complete, so that their callers see it. */
import {type ServerResponse} from 'node:http';
import {resetConnection} from '../http/index.js';

/**
 * Ends the connection of a response that is not complete. Its orderly end would be the end of a body that has no other.
 * @param response - Response to the caller.
 * @param isFramed - Whether the caller sees the end of the body by its length or its last chunk.
 */
export function breakOff(response: ServerResponse, isFramed: boolean): void {
	if (isFramed || response.socket === null) {
		response.destroy();
	} else {
		resetConnection(response.socket);
	}
}
