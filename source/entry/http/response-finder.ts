/** Finds the head of a response, up to its request id, in a body that arrives in chunks. */
import {type Buffer} from 'node:buffer';
import {statusLine} from './response-head.js';

/** Longest head that is searched for an id. */
const maximumHeadLength = 16_384;

/** Length of a status line up to its status. */
const partialLineLength = 'HTTP/1.1 200'.length;

/** Head that the end of a body cuts off: a status line with its end, and no end of the head. */
const unfinishedHead = /HTTP\/1\.\d [1-5]\d\d(?: [^\r\n]*)?\r\n(?:(?!\r\n\r\n)[\s\S])*$/v;

/** Finder of a response in a body. */
export type ResponseFinder = {
	push(chunk: Buffer): void;
	/** Checks whether the body so far contains the head of a response. */
	hasFound(): boolean;
	/** Checks whether the body so far ends within the head of a response. */
	endsInHead(): boolean;
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
			const start = text.search(statusLine);
			isFound = start !== -1 && text.slice(start).toLowerCase().includes(`\r\n${requestIdHeader}:`);
			tail = start === -1 ? text.slice(-partialLineLength) : text.slice(Math.max(start, text.length - maximumHeadLength));
		},
		hasFound: () => isFound,
		endsInHead: () => unfinishedHead.test(tail),
	};
}
