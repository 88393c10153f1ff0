/** Renders the responses of upstreams as text. */
import {STATUS_CODES} from 'node:http';

const largestChunk = 4096;

/** How the end of a body is recognized: by its length, by its last chunk, or by the close of the connection. */
export type Framing = 'length' | 'chunks' | 'close';

/** Response of an upstream. */
export type Response = {
	readonly status: number;
	readonly framing: Framing;
	/** Body in latin1. */
	readonly body: string;
	/** Whether the body is sent; it is not in response to HEAD. */
	readonly hasContent: boolean;
	readonly headers: Readonly<Record<string, string>>;
};

function renderChunks(body: string): string {
	const parts = body.match(new RegExp(`.{1,${largestChunk}}`, 'gsv')) ?? [];
	return [...parts.map(part => `${part.length.toString(16)}\r\n${part}\r\n`), '0\r\n\r\n'].join('');
}

/**
 * Renders a response.
 * @param response - Status, headers and body.
 */
export function renderResponse(response: Response): {readonly head: string; readonly content: string} {
	const {status, framing, body, hasContent, headers} = response;
	const framingLines: Readonly<Record<Framing, readonly string[]>> = {
		length: status === 204 ? [] : [`Content-Length: ${body.length}`],
		chunks: status === 204 ? [] : ['Transfer-Encoding: chunked'],
		close: ['Connection: close'],
	};
	const lines = [`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), ...framingLines[framing]];
	return {head: `${lines.join('\r\n')}\r\n\r\n`, content: hasContent ? (framing === 'chunks' ? renderChunks(body) : body) : ''};
}
