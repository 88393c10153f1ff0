/** Starts a control host and an entry in this process, on loopback and with a temporary data folder. */
import {randomUUID} from 'node:crypto';
import {mkdtempSync, rmSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {type EnvironmentDocument} from '../configuration/index.js';
import {startControl, type Control} from '../control/index.js';
import {startEntry, type Dialect, type Entry} from '../entry/index.js';
import {
	controlSettingsSchema, entrySettingsSchema, resolveSecurity, type Address,
} from '../settings/index.js';
import {createLog} from '../telemetry/index.js';
import {callApi, getBodyOrThrow} from './client.js';
import {failCommand} from './exit.js';

const loopback = '127.0.0.1';
const pollIntervalMilliseconds = 20;
const seed = 1;

/** A control host and an entry that run in this process. */
export type LocalProcesses = {
	readonly control: Control;
	readonly entry: Entry;
	/** Applies the first document of the production environment, once a leader is elected. */
	applyDocument(document: EnvironmentDocument): Promise<void>;
	stopControl(): Promise<void>;
};

/** Options of `startLocalProcesses`. */
export type LocalProcessesOptions = {
	/** Port for callers, 0 for any. */
	readonly port: number;
	readonly dialect?: Dialect;
	/** Settings of the entry that differ from the defaults. */
	readonly entrySettings?: Readonly<Record<string, unknown>>;
};

/**
 * Starts a control host and an entry.
 * @param options - Port, and what differs from the defaults.
 */
export async function startLocalProcesses(options: LocalProcessesOptions): Promise<LocalProcesses> {
	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-try-'));
	const linkAddress = await getFreeAddress();
	const commonSettings = {zone: 'north', control: [{name: 'control', ...linkAddress}], logLevel: 'warn' as const};
	const security = resolveSecurity({
		file: 'try', name: 'try', security: {}, listenAddresses: [],
	}).unwrapOrElse(messages => failCommand(...messages));
	const log = createLog('try', 'warn');
	const startResult = await startControl({
		settings: controlSettingsSchema.parse({
			...commonSettings, name: 'control', dataFolder: folder, links: linkAddress, api: {host: loopback, port: 0}, election: {timeoutMilliseconds: 100, heartbeatMilliseconds: 20},
		}),
		security,
		log,
		seed,
		isFounding: true,
		onFailure(error) {
			// Outside of the handler of a message, whose errors end just a link.
			setImmediate(() => {
				throw error;
			});
		},
	});
	const control = startResult.unwrapOrElse(message => failCommand(message));
	const entry = await startEntry({
		settings: entrySettingsSchema.parse({
			...commonSettings, name: 'entry', callers: {host: loopback, port: options.port}, admin: {host: loopback, port: 0}, graceMilliseconds: 0, ...options.entrySettings,
		}),
		security,
		log,
		seed,
		dialect: options.dialect,
	});
	return {
		control,
		entry,
		async applyDocument(document) {
			getBodyOrThrow(await applyOnceLeaderElected({control: `http://${loopback}:${control.apiPort}`}, document));
		},
		async stopControl() {
			await control.stop();
			rmSync(folder, {recursive: true, force: true});
		},
	};
}

async function applyOnceLeaderElected(operatorOptions: {readonly control: string}, document: EnvironmentDocument): ReturnType<typeof callApi> {
	const change = randomUUID();
	for (;;) {
		try {
			return await callApi(operatorOptions, 'POST', '/v1/environments/production/apply', {
				base: 0, change, author: 'try', document,
			});
		} catch {
			await delay(pollIntervalMilliseconds);
		}
	}
}

async function getFreeAddress(): Promise<Address> {
	return new Promise(resolve => {
		const server = createServer();
		server.listen(0, loopback, () => {
			const address = server.address();
			server.close(() => {
				resolve({host: loopback, port: typeof address === 'object' && address !== null ? address.port : 0});
			});
		});
	});
}
