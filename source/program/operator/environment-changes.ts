/** Changes the document of an environment on behalf of an operator. */
import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import {setTimeout as delay} from 'node:timers/promises';
import {
	documentSchema, withZone, type ConfigurationResult, type Environment, type EnvironmentDocument,
} from '../../configuration/index.js';
import {readTomlFile} from '../../settings/index.js';
import {callApi, getBodyOrThrow, type OperatorOptions} from '../client.js';
import {describeDifferences} from '../document-difference.js';
import {failCommand, rejectInput} from '../exit.js';
import {printJson, printLine} from '../print.js';
import {parseEnvironment, readVersion} from './system-state.js';

const pollIntervalMilliseconds = 100;
const waitTimeoutMilliseconds = 30_000;
const maximumConflictAttempts = 10;

/** Options of commands that change an environment. */
export type ChangeOptions = OperatorOptions & {
	readonly environment?: string;
	readonly base?: number;
	readonly change?: string;
	readonly wait?: boolean;
	readonly despiteBurn?: boolean;
};

/**
 * Applies a document to an environment.
 * @param file - Path of the document.
 * @param options - Environment, base version and change id.
 */
export async function applyDocument(file: string, options: ChangeOptions): Promise<void> {
	const environment = parseEnvironment(options.environment ?? 'trial');
	const document = readTomlFile(file, documentSchema).unwrapOrElse(rejectInput);
	const currentVersion = await readVersion(environment, options);
	const base = options.base ?? currentVersion?.version ?? 0;
	const response = await callApi(options, 'POST', `/v1/environments/${environment}/apply`, {
		base, change: options.change ?? randomUUID(), author: userInfo().username, document,
	});
	const {answer: result} = getBodyOrConflict(response);
	if (result.kind === 'conflict') {
		const current = await readVersion(environment, options);
		failCommand(
			`${environment} is at version ${result.current}, not at ${result.base}; read it, merge and apply again`,
			...current === undefined ? [] : describeDifferences(current.document, document),
		);
	}

	await reportResult(environment, result, options);
}

/**
 * Copies a trial version to production.
 * @param options - Versions and change id.
 */
export async function promoteTrialVersion(options: ChangeOptions & {readonly source?: number}): Promise<void> {
	const trialVersion = await readVersion('trial', options);
	const productionVersion = await readVersion('production', options);
	const source = options.source ?? trialVersion?.version;
	if (source === undefined) {
		failCommand('trial has no version; apply a document first');
	}

	const response = await callApi(options, 'POST', '/v1/environments/production/promote', {
		source, base: options.base ?? productionVersion?.version ?? 0, change: options.change ?? randomUUID(), author: userInfo().username, despiteBurn: options.despiteBurn ?? false,
	});
	const burnRefusal = response.body as {readonly kind?: string; readonly services?: readonly string[]};
	if (burnRefusal.kind === 'burning') {
		failCommand(`trial is burning its error budget in ${burnRefusal.services?.join(', ') ?? 'a service'}; fix it, or pass --despite-burn`);
	}

	await reportResult('production', getBodyOrConflict(response).answer, options);
}

/**
 * Takes a zone out of service or brings it back; retries when the document changes concurrently.
 * @param action - `out` or `in`.
 * @param zone - Name of the zone.
 * @param options - Environment.
 */
export async function changeZone(action: string, zone: string, options: ChangeOptions): Promise<void> {
	if (action !== 'out' && action !== 'in') {
		rejectInput([`zone: "${action}" is unknown; use out or in`]);
	}

	const environment = parseEnvironment(options.environment ?? 'production');
	const change = options.change ?? randomUUID();
	for (let attempt = 0; attempt < maximumConflictAttempts; attempt++) {
		const current = await readVersion(environment, options);
		if (current === undefined) {
			failCommand(`${environment} has no version; apply a document first`);
		}

		const document = changeZoneOrThrow(current.document, zone, action === 'in');
		const response = await callApi(options, 'POST', `/v1/environments/${environment}/apply`, {
			base: current.version, change: `${change}-${attempt}`, author: userInfo().username, document,
		});
		const {answer: result} = getBodyOrConflict(response);
		if (result.kind === 'accepted') {
			await reportResult(environment, result, options);
			return;
		}
	}

	failCommand(`${environment} was changed concurrently in each of ${maximumConflictAttempts} attempts; try again`);
}

function changeZoneOrThrow(document: EnvironmentDocument, zone: string, inService: boolean): EnvironmentDocument {
	if (!document.zones.some(candidate => candidate.name === zone)) {
		rejectInput([`zone: "${zone}" is unknown; use one of ${document.zones.map(candidate => candidate.name).join(', ')}`]);
	}

	const updatedDocument = withZone(document, zone, inService);
	if (!updatedDocument.zones.some(candidate => candidate.inService)) {
		failCommand(`"${zone}" is the last zone in service; bring another one into service first`);
	}

	return updatedDocument;
}

async function reportResult(environment: Environment, result: ConfigurationResult, options: ChangeOptions): Promise<void> {
	if (result.kind !== 'accepted') {
		failCommand(result.kind === 'conflict'
			? `${environment} is at version ${result.current}, not at ${result.base}; read it and try again`
			: `${result.environment} has no version ${result.version}; see guavadeck history ${result.environment}`);
	}

	if (options.wait) {
		await waitUntilInForce(environment, result.version, options);
	}

	if (options.json) {
		printJson(result);
	} else {
		printLine(`${environment} version ${result.version} ${options.wait ? 'is in force everywhere' : 'accepted'}`);
	}
}

async function waitUntilInForce(environment: Environment, version: number, options: OperatorOptions): Promise<void> {
	const endAt = Date.now() + waitTimeoutMilliseconds;
	while (Date.now() < endAt) {
		const response = await callApi(options, 'GET', `/v1/environments/${environment}/in-force?version=${version}`);
		if (getBodyOrThrow<{readonly isInForce: boolean}>(response).isInForce) {
			return;
		}

		await delay(pollIntervalMilliseconds);
	}

	failCommand(`version ${version} is accepted, but not yet in force everywhere after ${waitTimeoutMilliseconds / 1000} s; see guavadeck status`);
}

function getBodyOrConflict(response: {readonly status: number; readonly body: unknown}): {readonly answer: ConfigurationResult} {
	return response.status === 409 ? response.body as {readonly answer: ConfigurationResult} : getBodyOrThrow(response);
}
