/** Finds the head of a response, up to its request id, in a body that arrives in chunks. */
import {type Buffer} from 'node:buffer';

/** Longest head that is searched for an id. */
const maximumHeadLength = 16_384;

/** Length of a status line up to its status, less one. */
const partialLineLength = 'HTTP/1.1 20'.length;

/** Finder of a response in a body. */
export type ResponseFinder = {
	push(chunk: Buffer): void;
	hasFound(): boolean;
};

/**
 * Creates a finder.
 * @param requestIdHeader - Header with the request id, in lower case.
 */
export function createResponseFinder(requestIdHeader: string): ResponseFinder {
	/** End of the body so far: from its last status line on, or what may be the start of one. */
	let tail = '';
	let isFound = false;
	return {
		push(chunk) {
			if (isFound) {
				return;
			}

			const text = tail + chunk.toString('latin1');
			const start = text.search(/HTTP\/1\.\d \d{3}/v);
			isFound = start !== -1 && text.slice(start).toLowerCase().includes(`\r\n${requestIdHeader}:`);
			tail = start === -1 ? text.slice(-partialLineLength) : text.slice(Math.max(start, text.length - maximumHeadLength));
		},
		hasFound: () => isFound,
	};
}
