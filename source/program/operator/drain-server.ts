/** Drains a server on behalf of an operator. */
import {callApi, getBodyOrThrow, type OperatorOptions} from '../client.js';
import {failCommand, rejectInput} from '../exit.js';
import {printLine} from '../print.js';
import {readStatus} from './system-state.js';

/**
 * Drains a server, so that it receives no new requests.
 * @param action - `drain`.
 * @param key - `service/name` of the server.
 * @param options - Addresses and key.
 */
export async function drainServer(action: string, key: string, options: OperatorOptions): Promise<void> {
	if (action !== 'drain') {
		rejectInput([`server: "${action}" is unknown; use drain`]);
	}

	const {servers} = await readStatus(options);
	const server = servers.find(candidate => candidate.key === key);
	if (server === undefined) {
		failCommand(`${key}: no such server; see guavadeck status`);
	}

	const response = await callApi(options, 'POST', '/v1/servers/drain', {key, boot: server.boot});
	if (response.status === 404) {
		failCommand(`${key}: the server has restarted or is gone; see guavadeck status`);
	}

	getBodyOrThrow(response);
	printLine(`${key} is draining and receives no new requests`);
}
