/** Reads the responses in the bytes of a connection, strictly: what is cut short or not of the form of HTTP is not complete. */

/** How a connection ended: not yet, in order, or by a reset. */
export type Ending = 'open' | 'ordered' | 'reset';

/** Response in a text; the body is undefined if it is incomplete. */
export type TextResponse = {readonly status: number; readonly head: string; readonly body: string | undefined};

type Part = {readonly body: string | undefined; readonly end: number};

const incomplete: Part = {body: undefined, end: Number.POSITIVE_INFINITY};

function getField(head: string, name: string): string | undefined {
	const line = head.split('\r\n').find(text => text.toLowerCase().startsWith(`${name}:`));
	return line?.slice(name.length + 1).trim();
}

/** Reads trailers up to the empty line after them. */
function readTrailers(text: string, start: number, body: string): Part {
	let position = start;
	for (;;) {
		const lineEnd = text.indexOf('\r\n', position);
		if (lineEnd === -1) {
			return incomplete;
		}

		if (lineEnd === position) {
			return {body, end: lineEnd + 2};
		}

		position = lineEnd + 2;
	}
}

function readChunks(text: string, start: number): Part {
	let position = start;
	let body = '';
	for (;;) {
		const line = /^(?<size>[\da-f]+)(?:[ \t]*;[^\r\n]*)?\r\n/iv.exec(text.slice(position, position + 1000));
		if (line === null) {
			return incomplete;
		}

		const size = Number.parseInt(line.groups!.size!, 16);
		position += line[0].length;
		if (size === 0) {
			return readTrailers(text, position, body);
		}

		body += text.slice(position, position + size);
		position += size;
		if (text.slice(position, position + 2) !== '\r\n') {
			return incomplete;
		}

		position += 2;
	}
}

/** Head of a response, and the position after it. */
type Head = {readonly status: number; readonly head: string; readonly start: number};

function readBody(text: string, {status, head, start}: Head, ending: Ending): Part {
	const length = getField(head, 'content-length');
	if (status === 204 || status === 304) {
		return {body: '', end: start};
	}

	if (getField(head, 'transfer-encoding')?.toLowerCase() === 'chunked') {
		return readChunks(text, start);
	}

	if (length !== undefined) {
		const end = start + Number(length);
		return /^\d+$/v.test(length) && text.length >= end ? {body: text.slice(start, end), end} : incomplete;
	}

	return ending === 'ordered' ? {body: text.slice(start), end: text.length} : incomplete;
}

/**
 * Reads all responses in a text, except informational ones. The last one may be incomplete.
 * @param text - Bytes of a connection in latin1.
 * @param ending - How the connection ended.
 */
export function readResponses(text: string, ending: Ending): readonly TextResponse[] {
	const responses: TextResponse[] = [];
	let position = 0;
	while (position < text.length) {
		// Empty lines before a status line belong to no response; Node's parser skips them as well.
		if (text.startsWith('\r\n', position)) {
			position += 2;
			continue;
		}

		const headEnd = text.indexOf('\r\n\r\n', position);
		if (headEnd === -1) {
			break;
		}

		const head = text.slice(position, headEnd);
		const status = Number(/^HTTP\/1\.[01] (?<status>\d{3})/v.exec(head)?.groups?.status);
		if (status >= 100 && status < 200 && status !== 101) {
			position = headEnd + 4;
		} else {
			const {body, end} = readBody(text, {status, head, start: headEnd + 4}, ending);
			responses.push({status, head, body});
			position = end;
		}
	}

	return responses;
}
