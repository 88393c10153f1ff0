/** Calls the operators' API of the control hosts. */
import process from 'node:process';
import {readSecretFile} from '../settings/index.js';
import {failCommand, rejectInput} from './exit.js';

const defaultControlAddresses = 'http://127.0.0.1:7400';
const requestTimeoutMilliseconds = 10_000;

/** Options that every operator command takes. */
export type OperatorOptions = {
	/** Base addresses of control hosts, separated by commas. */
	readonly control?: string;
	readonly keyFile?: string;
	readonly json?: boolean;
};

/** Response of the operators' API. */
export type ApiResponse = {readonly status: number; readonly body: unknown};

/**
 * Calls the control hosts in order and returns the first response; hosts that fail or report no leader are skipped.
 * @param options - Addresses and key.
 * @param method - HTTP method.
 * @param path - Path of the resource.
 * @param body - Plain data to send as JSON, if any.
 */
export async function callApi(options: OperatorOptions, method: 'GET' | 'POST', path: string, body?: unknown): Promise<ApiResponse> {
	const addresses = (options.control ?? process.env.GUAVADECK_CONTROL ?? defaultControlAddresses).split(',');
	const key = options.keyFile === undefined ? undefined : readSecretFile(options.keyFile).unwrapOrElse(rejectInput);
	const failures: string[] = [];
	for (const address of addresses) {
		if (!URL.canParse(path, address)) {
			rejectInput([`--control: "${address}" is not an address; write http://IP:PORT`]);
		}

		try {
			return await callControlHost(new URL(path, address), method, key, body);
		} catch (error) {
			failures.push(`${address}: ${(error as Error).message}`);
		}
	}

	return failCommand('no control host responded; check --control and that the hosts are running', ...failures);
}

async function callControlHost(url: URL, method: string, key: string | undefined, body: unknown): Promise<ApiResponse> {
	const response = await fetch(url, {
		method,
		headers: {'content-type': 'application/json', ...(key === undefined ? {} : {authorization: `Bearer ${key}`})},
		...(body === undefined ? {} : {body: JSON.stringify(body)}),
		signal: AbortSignal.timeout(requestTimeoutMilliseconds),
	});
	const responseBody = await response.json();
	if (response.status === 503) {
		throw new Error('the control host reports no leader (status 503)');
	}

	return {status: response.status, body: responseBody};
}

/**
 * Gets the body of a successful response, or ends the command.
 * @param response - Response of the operators' API.
 */
export function getBodyOrThrow<Body>(response: ApiResponse): Body {
	if (response.status < 300) {
		return response.body as Body;
	}

	const {faults} = response.body as {readonly faults?: readonly string[]};
	if (response.status === 400 && faults !== undefined) {
		rejectInput(faults);
	}

	return failCommand(...faults ?? [JSON.stringify(response.body)]);
}
