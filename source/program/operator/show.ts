/** Prints documents, their history and the state of the system for an operator. */
import {type Version} from '../../configuration/index.js';
import {callApi, getBodyOrThrow, type OperatorOptions} from '../client.js';
import {failCommand} from '../exit.js';
import {printJson, printLine, printTable} from '../print.js';
import {parseEnvironment, readStatus, readVersion} from './system-state.js';

/**
 * Prints the latest version of an environment as JSON.
 * @param environment - Name of the environment.
 * @param options - Addresses and key.
 */
export async function showDocument(environment: string, options: OperatorOptions): Promise<void> {
	const version = await readVersion(parseEnvironment(environment), options);
	if (version === undefined) {
		failCommand(`${environment} has no version; apply a document first`);
	}

	printJson(version);
}

/**
 * Prints the history of versions of an environment.
 * @param environment - Name of the environment.
 * @param options - Addresses and key.
 */
export async function showHistory(environment: string, options: OperatorOptions): Promise<void> {
	const response = await callApi(options, 'GET', `/v1/environments/${parseEnvironment(environment)}/history`);
	const {versions} = getBodyOrThrow<{readonly versions: readonly Version[]}>(response);
	if (options.json) {
		printJson(versions);
		return;
	}

	printTable(['VERSION', 'AT', 'AUTHOR', 'CHANGE'], versions.map(version => [String(version.version), new Date(version.at).toISOString(), version.author, version.change]));
}

/**
 * Prints the state of replicas, entries and servers.
 * @param options - Addresses and key.
 */
export async function showStatus(options: OperatorOptions): Promise<void> {
	const status = await readStatus(options);
	if (options.json) {
		printJson(status);
		return;
	}

	printLine(`leader ${status.leader}  term ${status.term}  commit ${status.commitIndex}  trial ${status.versions.trial}  production ${status.versions.production}  claims ${status.claims}`);
	printLine(`probes per second: ${status.measuring.planned.toFixed(1)} planned, at most ${status.measuring.budget} allowed`);
	printTable(['REPLICA', 'ROLE', 'MATCH', 'SILENT MS'], status.replicas.map(replica => [replica.replica, replica.role, String(replica.matchIndex), String(replica.silentMilliseconds)]));
	printTable(['ENTRY', 'ENVIRONMENT', 'VERSION', 'LEASE MS'], status.entries.map(entry => [entry.entry, entry.environment, String(entry.version), String(entry.leaseMilliseconds)]));
	printTable(['SERVER', 'ZONE', 'STATE', 'SLOTS', 'PERMITS', 'PROBER'], status.servers.map(server => [
		server.key, server.zone, server.isAbsent ? `${server.state} (absent)` : server.state, String(server.slots), server.permits === undefined ? '-' : `${server.permits.held}/${server.permits.capacity}`, server.prober ?? '-',
	]));
	for (const fingerprint of status.quarantined) {
		printLine(`quarantined ${fingerprint}`);
	}
}
