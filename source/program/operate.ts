/** The operators' commands. */
import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import {setTimeout as delay} from 'node:timers/promises';
import {
	documentSchema, withZone, type ConfigurationResult, type Environment, type EnvironmentDocument, type Version,
} from '../configuration/index.js';
import {type ClusterStatus} from '../control/index.js';
import {controlSettingsSchema, entrySettingsSchema, readTomlFile} from '../settings/index.js';
import {callApi, getBodyOrThrow, type OperatorOptions} from './client.js';
import {describeChanges} from './difference.js';
import {refuse, rejectInput} from './exit.js';
import {printJson, printLine, printTable} from './print.js';

const waitMilliseconds = 100;
const waitLimitMilliseconds = 30_000;
const raceAttempts = 10;

/** Options of commands that change an environment. */
export type ChangeOptions = OperatorOptions & {
	readonly environment?: string;
	readonly base?: number;
	readonly change?: string;
	readonly wait?: boolean;
	readonly despiteBurn?: boolean;
};

type Schema = typeof documentSchema | typeof controlSettingsSchema | typeof entrySettingsSchema;

function getSchema(kind: string): Schema {
	switch (kind) {
		case 'document': {
			return documentSchema;
		}

		case 'control': {
			return controlSettingsSchema;
		}

		case 'entry': {
			return entrySettingsSchema;
		}

		default: {
			return rejectInput([`--kind: "${kind}" is unknown; use document, control or entry`]);
		}
	}
}

/**
 * Checks files without applying anything.
 * @param files - Paths.
 * @param kind - What the files hold: `document`, `control` or `entry`.
 */
export function check(files: readonly string[], kind: string): void {
	const schema = getSchema(kind);
	const faults = files.flatMap(file => {
		const outcome = readTomlFile(file, schema);
		return outcome.isErr ? outcome.error : [];
	});
	if (faults.length > 0) {
		rejectInput(faults);
	}

	for (const file of files) {
		printLine(`${file}: ok`);
	}
}

/**
 * Applies a document to an environment.
 * @param file - Path of the document.
 * @param options - Environment, base version and change id.
 */
export async function apply(file: string, options: ChangeOptions): Promise<void> {
	const environment = getEnvironment(options.environment ?? 'trial');
	const document = readTomlFile(file, documentSchema).unwrapOrElse(rejectInput);
	const known = await readVersion(environment, options);
	const base = options.base ?? known?.version ?? 0;
	const answer = await callApi(options, 'POST', `/v1/environments/${environment}/apply`, {
		base, change: options.change ?? randomUUID(), author: userInfo().username, document,
	});
	const {answer: outcome} = getBodyOrConflict(answer);
	if (outcome.kind === 'conflict') {
		const current = await readVersion(environment, options);
		refuse(
			`${environment} is at version ${outcome.current}, not at ${outcome.base}; read it, merge and apply again`,
			...current === undefined ? [] : describeChanges(current.document, document),
		);
	}

	await report(environment, outcome, options);
}

/**
 * Copies a trial version to production.
 * @param options - Versions and change id.
 */
export async function promote(options: ChangeOptions & {readonly source?: number}): Promise<void> {
	const trial = await readVersion('trial', options);
	const production = await readVersion('production', options);
	const source = options.source ?? trial?.version;
	if (source === undefined) {
		refuse('trial has no version; apply a document first');
	}

	const answer = await callApi(options, 'POST', '/v1/environments/production/promote', {
		source, base: options.base ?? production?.version ?? 0, change: options.change ?? randomUUID(), author: userInfo().username, despiteBurn: options.despiteBurn ?? false,
	});
	const burning = answer.body as {readonly kind?: string; readonly services?: readonly string[]};
	if (burning.kind === 'burning') {
		refuse(`trial burns its budget in ${burning.services?.join(', ') ?? 'a service'}; mend it, or pass --despite-burn`);
	}

	await report('production', getBodyOrConflict(answer).answer, options);
}

/**
 * Takes a zone out of service or brings it back.
 * @param action - `out` or `in`.
 * @param zone - Name of the zone.
 * @param options - Environment.
 */
export async function changeZone(action: string, zone: string, options: ChangeOptions): Promise<void> {
	if (action !== 'out' && action !== 'in') {
		rejectInput([`zone: "${action}" is unknown; use out or in`]);
	}

	const environment = getEnvironment(options.environment ?? 'production');
	const change = options.change ?? randomUUID();
	for (let attempt = 0; attempt < raceAttempts; attempt++) {
		const current = await readVersion(environment, options);
		if (current === undefined) {
			refuse(`${environment} has no version; apply a document first`);
		}

		const document = changeZoneOrThrow(current.document, zone, action === 'in');
		const answer = await callApi(options, 'POST', `/v1/environments/${environment}/apply`, {
			base: current.version, change: `${change}-${attempt}`, author: userInfo().username, document,
		});
		const {answer: outcome} = getBodyOrConflict(answer);
		if (outcome.kind === 'accepted') {
			await report(environment, outcome, options);
			return;
		}
	}

	refuse(`${environment} changed ${raceAttempts} times meanwhile; try again`);
}

function changeZoneOrThrow(document: EnvironmentDocument, zone: string, inService: boolean): EnvironmentDocument {
	if (!document.zones.some(candidate => candidate.name === zone)) {
		rejectInput([`zone: "${zone}" is unknown; use one of ${document.zones.map(candidate => candidate.name).join(', ')}`]);
	}

	const changed = withZone(document, zone, inService);
	if (!changed.zones.some(candidate => candidate.inService)) {
		refuse(`"${zone}" is the last zone in service; bring another one in first`);
	}

	return changed;
}

/**
 * Lets a server leave although it did not ask to.
 * @param key - `service/name` of the server.
 * @param options - Addresses and key.
 */
export async function drainServer(action: string, key: string, options: OperatorOptions): Promise<void> {
	if (action !== 'drain') {
		rejectInput([`server: "${action}" is unknown; use drain`]);
	}

	const answer = await callApi(options, 'POST', '/v1/servers/drain', {key});
	if (answer.status === 404) {
		refuse(`${key}: no such server; see guavadeck status`);
	}

	getBodyOrThrow(answer);
	printLine(`${key} gets no new work`);
}

/**
 * Shows the document in force in an environment.
 * @param environment - Name of the environment.
 * @param options - Addresses and key.
 */
export async function show(environment: string, options: OperatorOptions): Promise<void> {
	const version = await readVersion(getEnvironment(environment), options);
	if (version === undefined) {
		refuse(`${environment} has no version; apply a document first`);
	}

	printJson(version);
}

/**
 * Shows the versions of an environment.
 * @param environment - Name of the environment.
 * @param options - Addresses and key.
 */
export async function showHistory(environment: string, options: OperatorOptions): Promise<void> {
	const answer = await callApi(options, 'GET', `/v1/environments/${getEnvironment(environment)}/history`);
	const {versions} = getBodyOrThrow<{readonly versions: readonly Version[]}>(answer);
	if (options.json) {
		printJson(versions);
		return;
	}

	printTable(['VERSION', 'AT', 'AUTHOR', 'CHANGE'], versions.map(version => [String(version.version), new Date(version.at).toISOString(), version.author, version.change]));
}

/**
 * Shows the state of the whole system.
 * @param options - Addresses and key.
 */
export async function showStatus(options: OperatorOptions): Promise<void> {
	const {status} = getBodyOrThrow<{readonly status: ClusterStatus}>(await callApi(options, 'GET', '/v1/status'));
	if (options.json) {
		printJson(status);
		return;
	}

	printLine(`leader ${status.leader}  term ${status.term}  commit ${status.commitIndex}  trial ${status.versions.trial}  production ${status.versions.production}  claims ${status.claims}`);
	printLine(`measuring ${status.measuring.planned.toFixed(1)} of ${status.measuring.budget} probes a second`);
	printTable(['REPLICA', 'ROLE', 'MATCH', 'SILENT MS'], status.replicas.map(replica => [replica.replica, replica.role, String(replica.matchIndex), String(replica.silentMilliseconds)]));
	printTable(['ENTRY', 'ENVIRONMENT', 'VERSION', 'LEASE MS'], status.entries.map(entry => [entry.entry, entry.environment, String(entry.version), String(entry.leaseMilliseconds)]));
	printTable(['SERVER', 'ZONE', 'STATE', 'SLOTS', 'PERMITS', 'PROBER'], status.servers.map(server => [
		server.key, server.zone, server.isAbsent ? `${server.state} (absent)` : server.state, String(server.slots), server.permits === undefined ? '-' : `${server.permits.held}/${server.permits.capacity}`, server.prober ?? '-',
	]));
	for (const fingerprint of status.quarantined) {
		printLine(`quarantined ${fingerprint}`);
	}
}

async function report(environment: Environment, answer: ConfigurationResult, options: ChangeOptions): Promise<void> {
	if (answer.kind !== 'accepted') {
		refuse(answer.kind === 'conflict'
			? `${environment} is at version ${answer.current}, not at ${answer.base}; read it and try again`
			: `${answer.environment} has no version ${answer.version}; see guavadeck history ${answer.environment}`);
	}

	if (options.wait) {
		await waitUntilInForce(environment, answer.version, options);
	}

	if (options.json) {
		printJson(answer);
	} else {
		printLine(`${environment} version ${answer.version} ${options.wait ? 'is in force everywhere' : 'accepted'}`);
	}
}

async function waitUntilInForce(environment: Environment, version: number, options: OperatorOptions): Promise<void> {
	const until = Date.now() + waitLimitMilliseconds;
	while (Date.now() < until) {
		const answer = await callApi(options, 'GET', `/v1/environments/${environment}/in-force?version=${version}`);
		if (getBodyOrThrow<{readonly isInForce: boolean}>(answer).isInForce) {
			return;
		}

		await delay(waitMilliseconds);
	}

	refuse(`version ${version} is accepted, but not yet in force everywhere after ${waitLimitMilliseconds / 1000} s; see guavadeck status`);
}

async function readVersion(environment: Environment, options: OperatorOptions): Promise<Version | undefined> {
	const answer = await callApi(options, 'GET', `/v1/environments/${environment}`);
	return answer.status === 404 ? undefined : getBodyOrThrow<{readonly version: Version}>(answer).version;
}

function getBodyOrConflict(answer: {readonly status: number; readonly body: unknown}): {readonly answer: ConfigurationResult} {
	return answer.status === 409 ? answer.body as {readonly answer: ConfigurationResult} : getBodyOrThrow(answer);
}

function getEnvironment(name: string): Environment {
	return name === 'trial' || name === 'production' ? name : rejectInput([`environment: "${name}" is unknown; use trial or production`]);
}
