/** Reads the responses on a connection one after another, as text in latin1. */

/** Response that was read; its body is undefined if it is incomplete. */
export type ReadResponse = {readonly status: number; readonly headers: ReadonlyMap<string, string>; readonly body: string | undefined};

/** Reader of one connection. */
export type ResponseReader = {
	receive(text: string): void;
	/** Ends the last response, which is complete if it has no length and the connection was closed in order. */
	end(isInOrder: boolean): void;
};

/** Options of `createResponseReader`. */
export type ResponseReaderOptions = {
	/** Gets the method of the request to which the next response belongs. */
	getMethod(): string | undefined;
	onResponse(response: ReadResponse): void;
};

type Head = Pick<ReadResponse, 'status' | 'headers'>;

function parseHead(text: string): Head {
	const [statusLine, ...lines] = text.split('\r\n');
	const headers = new Map(lines.map(line => {
		const colon = line.indexOf(':');
		return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
	}));
	return {status: Number(statusLine!.split(' ')[1]), headers};
}

/**
 * Creates a reader.
 * @param options - Method of the requests, and callback.
 */
export function createResponseReader(options: ResponseReaderOptions): ResponseReader {
	let rest = '';
	let head: Head | undefined;
	let chunks = '';

	function finish(body: string | undefined): void {
		const response = {...head!, body};
		head = undefined;
		chunks = '';
		options.onResponse(response);
	}

	/** Takes a text up to a separator from what was received, if it is complete. */
	function take(separator: string): string | undefined {
		const index = rest.indexOf(separator);
		if (index === -1) {
			return undefined;
		}

		const text = rest.slice(0, index);
		rest = rest.slice(index + separator.length);
		return text;
	}

	function readHead(): boolean {
		const text = take('\r\n\r\n');
		if (text === undefined) {
			return false;
		}

		const next = parseHead(text);
		head = next.status >= 100 && next.status < 200 ? undefined : next;
		return true;
	}

	/** Reads one chunk, and ends the response with the last one. */
	function readChunk(): boolean {
		const lineEnd = rest.indexOf('\r\n');
		const size = Number.parseInt(rest.slice(0, Math.max(0, lineEnd)), 16);
		if (lineEnd === -1 || rest.length < lineEnd + size + 4) {
			return false;
		}

		chunks += rest.slice(lineEnd + 2, lineEnd + 2 + size);
		rest = rest.slice(lineEnd + size + 4);
		if (size === 0) {
			finish(chunks);
		}

		return true;
	}

	/** Reads a part of a body, and returns whether more may follow in what was received. */
	function readBody({status, headers}: Head): boolean {
		if (options.getMethod() === 'HEAD' || status === 204 || status === 304) {
			finish('');
			return true;
		}

		if (headers.has('transfer-encoding')) {
			return readChunk();
		}

		const length = Number(headers.get('content-length') ?? Infinity);
		if (rest.length < length) {
			return false;
		}

		const body = rest.slice(0, length);
		rest = rest.slice(length);
		finish(body);
		return true;
	}

	return {
		receive(text) {
			rest += text;
			while (rest !== '' || head !== undefined) {
				if (!(head === undefined ? readHead() : readBody(head))) {
					return;
				}
			}
		},
		end(isInOrder) {
			if (head !== undefined) {
				const isFramed = head.headers.has('transfer-encoding') || head.headers.has('content-length');
				finish(isInOrder && !isFramed ? rest : undefined);
			}
		},
	};
}
