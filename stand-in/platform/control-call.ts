/** Calls the API of a control host as the platform's operators and upstreams do. */
import {Buffer} from 'node:buffer';
import {request as startRequest, type IncomingMessage} from 'node:http';

const callTimeoutMilliseconds = 1000;

/** Number of redirects that a caller of a control host follows. */
const maximumRedirects = 2;

/**
 * Reads a body as text, or returns undefined if it was truncated.
 * @param message - Request or response.
 */
export async function readText(message: IncomingMessage): Promise<string | undefined> {
	const chunks: Buffer[] = [];
	try {
		for await (const chunk of message as AsyncIterable<Buffer>) {
			chunks.push(chunk);
		}

		return Buffer.concat(chunks).toString('utf8');
	} catch {
		return undefined;
	}
}

/** Response of a control host; the status is 0 if no complete response arrived in time. */
export type ControlCallResponse = {readonly status: number; readonly text: string; readonly location?: string};

/**
 * Calls the API of a control host once, without following a redirect. Resolves to status 0 if no complete response arrives in time.
 * @param address - Address of the control host, as `host:port`.
 * @param method - HTTP method.
 * @param path - Path of the resource.
 * @param body - JSON text or its bytes, if any.
 */
export async function callControlOnce(address: string, method: string, path: string, body?: string | Uint8Array): Promise<ControlCallResponse> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const request = startRequest({
			host, port: Number(port), method, path, agent: false, timeout: callTimeoutMilliseconds,
			headers: body === undefined ? {} : {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)},
		}, response => {
			void readText(response).then(text => {
				resolve({status: text === undefined ? 0 : response.statusCode ?? 0, text: text ?? '', location: response.headers.location});
			});
		});
		request.once('timeout', () => {
			request.destroy();
		});
		request.once('error', () => {
			resolve({status: 0, text: ''});
		});
		request.end(body);
	});
}

/**
 * Calls the API of a control host, and follows its redirects. Resolves to status 0 if no complete response arrives in time.
 * @param address - Address of the control host, as `host:port`.
 * @param method - HTTP method.
 * @param path - Path of the resource.
 * @param body - JSON text, if any.
 */
export async function callControl(address: string, method: string, path: string, body?: string): Promise<ControlCallResponse> {
	let response = await callControlOnce(address, method, path, body);
	for (let redirects = 0; response.status === 307 && response.location !== undefined && redirects < maximumRedirects; redirects++) {
		const {host, pathname} = new URL(response.location);
		response = await callControlOnce(host, method, pathname, body);
	}

	return response;
}
