/** Implements `guavadeck try`: a control host, an entry and stand-in servers in one process on loopback. */
import {randomUUID} from 'node:crypto';
import {mkdtempSync, rmSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import process from 'node:process';
import {documentSchema} from '../configuration/index.js';
import {startControl} from '../control/index.js';
import {startEntry} from '../entry/index.js';
import {
	controlSettingsSchema, entrySettingsSchema, resolveSecurity, type Address,
} from '../settings/index.js';
import {createLog} from '../telemetry/index.js';
import {startStandIn, type StandIn} from '../../stand-in/index.js';
import {callApi, getBodyOrThrow} from './client.js';
import {exitCode, failCommand} from './exit.js';
import {printLine} from './print.js';

const loopback = '127.0.0.1';
const serversPerService = 4;
const pollIntervalMilliseconds = 20;
const seed = 1;

const document = documentSchema.parse({
	zones: [{name: 'north'}, {name: 'south'}],
	services: [
		{name: 'catalogue', path: '/catalogue', easing: {initialSlots: 1, growthPerSuccess: 0.5}},
		{
			name: 'orders', path: '/orders', idempotentMethods: ['GET', 'HEAD'], easing: {initialSlots: 1, growthPerSuccess: 0.5},
		},
	],
});

/** System started by `guavadeck try`. */
export type LocalSystem = {
	readonly callersPort: number;
	readonly apiPort: number;
	readonly adminPort: number;
	/** Gets the number of requests in flight in the entry. */
	getInFlight(): number;
	stop(): Promise<void>;
};

/**
 * Starts a control host, an entry and stand-in servers in this process, and waits until every service responds.
 * @param port - Port for callers, 0 for any.
 */
export async function startLocalSystem(port: number): Promise<LocalSystem> {
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
			throw error;
		},
	});
	const control = startResult.unwrapOrElse(message => failCommand(message));
	const entry = await startEntry({
		settings: entrySettingsSchema.parse({
			...commonSettings, name: 'entry', callers: {host: loopback, port}, admin: {host: loopback, port: 0}, graceMilliseconds: 0,
		}),
		security,
		log,
		seed,
	});
	const operatorOptions = {control: `http://${loopback}:${control.apiPort}`};
	const servers = await startServers(`http://${loopback}:${entry.adminPort}`);
	const applyResponse = await applyOnceLeaderElected(operatorOptions);
	getBodyOrThrow(applyResponse);
	await waitUntilServing(`http://${loopback}:${entry.callersPort}`);
	return {
		callersPort: entry.callersPort,
		apiPort: control.apiPort,
		adminPort: entry.adminPort,
		getInFlight: entry.getInFlight,
		async stop() {
			await entry.stop();
			await Promise.all(servers.map(async server => server.stop()));
			await control.stop();
			rmSync(folder, {recursive: true, force: true});
		},
	};
}

async function startServers(announceTo: string): Promise<readonly StandIn[]> {
	const pendingServers = document.services.flatMap(service => Array.from({length: serversPerService}, async (_, index) => startStandIn({
		service: service.name,
		name: `${service.name}-${index + 1}`,
		zone: document.zones[index % document.zones.length]!.name,
		host: loopback,
		port: 0,
		connections: 50,
		behaviour: {isCold: false, answerBytes: 64},
		announceTo: [announceTo],
		seed: index,
		record() {
			// `guavadeck try` does not record requests.
		},
	})));
	return Promise.all(pendingServers);
}

async function applyOnceLeaderElected(operatorOptions: {readonly control: string}): ReturnType<typeof callApi> {
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

async function waitUntilServing(baseUrl: string): Promise<void> {
	const paths = document.services.map(service => service.path);
	for (const path of paths) {
		for (;;) {
			const response = await fetch(new URL(path, baseUrl)).catch(() => undefined);
			await response?.arrayBuffer();
			if (response?.status === 200) {
				break;
			}

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

/**
 * Runs `guavadeck try` until a signal stops it.
 * @param port - Port for callers, 0 for any.
 */
export async function runLocalSystem(port: number): Promise<void> {
	const system = await startLocalSystem(port);
	const baseUrl = `http://${loopback}:${system.callersPort}`;
	printLine(`ready ${baseUrl}`);
	printLine(`operators http://${loopback}:${system.apiPort}`);
	printLine(`curl -i ${baseUrl}/catalogue/jerseys`);
	printLine(`curl -i -X POST -H 'Idempotency-Key: order-1' -d '12 jerseys' ${baseUrl}/orders`);
	printLine(`curl -i -X POST -H 'Idempotency-Key: order-1' -d '12 jerseys' ${baseUrl}/orders`);
	await new Promise<void>(resolve => {
		process.once('SIGINT', resolve);
		process.once('SIGTERM', resolve);
	});
	await system.stop();
	process.exit(exitCode.success);
}
