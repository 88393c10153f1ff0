/** Reads the state of the system through the operators' API. */
import {type Environment, type Version} from '../../configuration/index.js';
import {type ClusterStatus} from '../../control/index.js';
import {callApi, getBodyOrThrow, type OperatorOptions} from '../client.js';
import {rejectInput} from '../exit.js';

/**
 * Reads the state of replicas, entries and servers.
 * @param options - Addresses and key.
 */
export async function readStatus(options: OperatorOptions): Promise<ClusterStatus> {
	return getBodyOrThrow<{readonly status: ClusterStatus}>(await callApi(options, 'GET', '/v1/status')).status;
}

/**
 * Reads the latest version of an environment; resolves to undefined if it has none.
 * @param environment - Environment.
 * @param options - Addresses and key.
 */
export async function readVersion(environment: Environment, options: OperatorOptions): Promise<Version | undefined> {
	const response = await callApi(options, 'GET', `/v1/environments/${environment}`);
	return response.status === 404 ? undefined : getBodyOrThrow<{readonly version: Version}>(response).version;
}

/**
 * Parses the name of an environment; ends the command if there is no such environment.
 * @param name - Name that the operator gave.
 */
export function parseEnvironment(name: string): Environment {
	return name === 'trial' || name === 'production' ? name : rejectInput([`environment: "${name}" is unknown; use trial or production`]);
}
