/** Implements `guavadeck try`: a control host, an entry and stand-in servers in one process on loopback. */
import {setTimeout as delay} from 'node:timers/promises';
import process from 'node:process';
import {documentSchema} from '../configuration/index.js';
import {startStandIn, type StandIn} from '../../stand-in/index.js';
import {exitCode} from './exit.js';
import {startLocalProcesses} from './local-processes.js';
import {printLine} from './print.js';

const loopback = '127.0.0.1';
const serversPerService = 4;
const pollIntervalMilliseconds = 20;

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
	const {control, entry, applyDocument, stopControl} = await startLocalProcesses({port});
	const servers = await startServers(`http://${loopback}:${entry.adminPort}`);
	await applyDocument(document);
	await waitUntilServing(`http://${loopback}:${entry.callersPort}`);
	return {
		callersPort: entry.callersPort,
		apiPort: control.apiPort,
		adminPort: entry.adminPort,
		getInFlight: entry.getInFlight,
		async stop() {
			await entry.stop();
			await Promise.all(servers.map(async server => server.stop()));
			await stopControl();
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
