/**
 * Checks the heads of callers' requests before anything is placed. Node's parser accepts more than can be sent to a server: header
 * names with spaces, control characters in the target, several hosts. Such a request is the caller's fault, and no server is
 * charged with it.
 */
import {type IncomingMessage} from 'node:http';
import {areHeadersValid} from '../http/index.js';

/** Why a request is refused before it is placed. */
export type RequestFault = 'malformed' | 'headers-too-large';

/** Scheme of an absolute target; callers reach an entry over plain HTTP. */
const absolutePrefix = 'http://';

/** Bytes of a header besides its name and value: a colon, a space and a line break. */
const headerOverheadBytes = 4;

/** Characters that Node sends in a target. */
const targetPattern = /^[\u0021-\u00FF]+$/v;

/**
 * Rewrites the absolute form of a target, `http://host/path`, to the form in which servers receive it. Its host replaces that of the header.
 * @param request - Request of a caller.
 */
export function normalizeTarget(request: IncomingMessage): void {
	const target = request.url ?? '/';
	if (!target.toLowerCase().startsWith(absolutePrefix)) {
		return;
	}

	const authorityEnd = target.slice(absolutePrefix.length).search(/[\/?#]/v);
	const pathStart = authorityEnd === -1 ? target.length : absolutePrefix.length + authorityEnd;
	const rest = target.slice(pathStart);
	request.headers.host = target.slice(absolutePrefix.length, pathStart);
	request.url = rest.startsWith('/') ? rest : `/${rest}`;
}

/**
 * Finds the fault of a request that cannot be forwarded.
 * @param request - Request of a caller, whose target is normalized.
 * @param maximumHeaderBytes - Maximum size of the request line and the headers, in bytes.
 */
export function findRequestFault(request: IncomingMessage, maximumHeaderBytes: number): RequestFault | undefined {
	const {rawHeaders, url = '/', method = 'GET'} = request;
	if (!targetPattern.test(url) || (!url.startsWith('/') && url !== '*') || countHosts(rawHeaders) > 1 || !areHeadersValid(rawHeaders)) {
		return 'malformed';
	}

	const lineBytes = method.length + url.length + headerOverheadBytes;
	const headerBytes = rawHeaders.reduce((sum, part) => sum + part.length + (headerOverheadBytes / 2), lineBytes);
	return headerBytes > maximumHeaderBytes ? 'headers-too-large' : undefined;
}

function countHosts(rawHeaders: readonly string[]): number {
	return rawHeaders.filter((name, index) => index % 2 === 0 && name.toLowerCase() === 'host').length;
}
