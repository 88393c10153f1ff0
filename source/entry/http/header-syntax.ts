/** Checks headers as Node does when it sends them; its parser accepts more than that. */
import {validateHeaderName, validateHeaderValue} from 'node:http';

/**
 * Checks whether Node would send all headers.
 * @param rawHeaders - Alternating names and values.
 */
export function areHeadersValid(rawHeaders: readonly string[]): boolean {
	try {
		for (let index = 0; index < rawHeaders.length; index += 2) {
			const name = rawHeaders[index]!;
			validateHeaderName(name);
			validateHeaderValue(name, rawHeaders[index + 1]!);
		}
	} catch {
		// Node's checks throw for a name or value that it would refuse to send.
		return false;
	}

	return true;
}
