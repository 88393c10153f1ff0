/** Calls the operators' interface of the control hosts. */
import process from 'node:process';
import {readSecretFile} from '../settings/index.js';
import {refuse, rejectInput} from './exit.js';

const defaultControl = 'http://127.0.0.1:7400';
const requestMilliseconds = 10_000;

/** Options that every operator command takes. */
export type OperatorOptions = {
	/** Base addresses of control hosts, separated by commas. */
	readonly control?: string;
	readonly keyFile?: string;
	readonly json?: boolean;
};

/** Answer of the interface. */
export type ApiAnswer = {readonly status: number; readonly body: unknown};

/**
 * Calls the first control host that answers.
 * @param options - Addresses and key.
 * @param method - HTTP method.
 * @param path - Path of the resource.
 * @param body - Plain data to send, if any.
 */
export async function callApi(options: OperatorOptions, method: 'GET' | 'POST', path: string, body?: unknown): Promise<ApiAnswer> {
	const bases = (options.control ?? process.env.GUAVADECK_CONTROL ?? defaultControl).split(',');
	const key = options.keyFile === undefined ? undefined : readSecretFile(options.keyFile).unwrapOrElse(rejectInput);
	const faults: string[] = [];
	for (const base of bases) {
		if (!URL.canParse(path, base)) {
			rejectInput([`--control: "${base}" is not an address; write http://IP:PORT`]);
		}

		try {
			return await callOne(new URL(path, base), method, key, body);
		} catch (error) {
			faults.push(`${base}: ${(error as Error).message}`);
		}
	}

	return refuse('no control host answered; check --control and that the hosts run', ...faults);
}

async function callOne(url: URL, method: string, key: string | undefined, body: unknown): Promise<ApiAnswer> {
	const response = await fetch(url, {
		method,
		headers: {'content-type': 'application/json', ...(key === undefined ? {} : {authorization: `Bearer ${key}`})},
		...(body === undefined ? {} : {body: JSON.stringify(body)}),
		signal: AbortSignal.timeout(requestMilliseconds),
	});
	const answer = await response.json();
	if (response.status === 503) {
		throw new Error('there is no leader at the moment');
	}

	return {status: response.status, body: answer};
}

/**
 * Gets the body of a successful answer, or ends the command.
 * @param answer - Answer of the interface.
 */
export function getBodyOrThrow<Body>(answer: ApiAnswer): Body {
	if (answer.status < 300) {
		return answer.body as Body;
	}

	const {faults} = answer.body as {readonly faults?: readonly string[]};
	if (answer.status === 400 && faults !== undefined) {
		rejectInput(faults);
	}

	return refuse(...faults ?? [JSON.stringify(answer.body)]);
}
