import process from 'node:process';
import {
	after, before, describe, test,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {
	consensusMessages, document, grants, messages, requests,
} from '../../stand-in/malformed-messages.js';
import {type ClusterStatus} from '../control/index.js';
import {startEntry, type Entry} from '../entry/index.js';
import {entrySettingsSchema, resolveSecurity, type Security} from '../settings/index.js';
import {createLog} from '../telemetry/index.js';
import {
	createDialer, listenForLinks, type Dialer, type Link, type LinkListener,
} from '../wire/index.js';
import {startLocalProcesses, type LocalProcesses} from './local-processes.js';

const host = '127.0.0.1';
const waitLimitMilliseconds = 2000;
const pollMilliseconds = 10;

/** Time in which an error that nothing handles is reported: some turns of the event loop. */
const reportMilliseconds = 30;

type Reply = {readonly id: number; readonly answer: {readonly kind: string; readonly status?: ClusterStatus}};

async function waitFor<Value>(name: string, get: () => Value | undefined | Promise<Value | undefined>): Promise<Value> {
	const until = Date.now() + waitLimitMilliseconds;
	for (;;) {
		const value = await get();
		if (value !== undefined) {
			return value;
		}

		if (Date.now() > until) {
			throw new Error(`timed out waiting until ${name}`);
		}

		await delay(pollMilliseconds);
	}
}

function resolveLocalSecurity(): Security {
	return resolveSecurity({
		file: 'test', name: 'test', security: {}, listenAddresses: [],
	}).unwrapOrElse(() => {
		throw new Error('no security');
	});
}

// Guards against a peer with the right key that ends a process, with all that it serves, by one message.
describe('a malformed message', () => {
	const security = resolveLocalSecurity();
	const uncaughtErrors: unknown[] = [];
	let system: LocalProcesses;
	let entry: Entry;
	let sound: Dialer;
	let falseControl: LinkListener;
	let falseLink: Link<unknown> | undefined;
	let replies: Reply[] = [];
	let nextId = 1;

	function recordUncaughtError(error: unknown): void {
		uncaughtErrors.push(error);
	}

	before(async () => {
		// The test runner keeps the process alive, where it would end by itself.
		process.on('uncaughtException', recordUncaughtError);
		process.on('unhandledRejection', recordUncaughtError);
		system = await startLocalProcesses({port: 0});
		await system.applyDocument(document);
		sound = createDialer({
			identity: {...security.link, name: 'sound'}, host, port: system.control.linksPort, check: message => message as Reply, onFailure: recordUncaughtError, onMessage(message) {
				replies.push(message);
			},
			onConnect() {
				// The test waits for replies.
			},
			onDisconnect() {
				replies.push({id: nextId, answer: {kind: 'closed'}});
			},
		});
		falseControl = await listenForLinks<unknown>({
			identity: {...security.link, name: 'false'}, setting: 'links', host, port: 0, onConnect(link) {
				falseLink = link;
				link.messages.subscribe({
					complete() {
						falseLink = undefined;
					},
				});
			},
		});
		entry = await startEntry({
			settings: entrySettingsSchema.parse({
				name: 'second', zone: 'north', control: [{name: 'control', host, port: system.control.linksPort}, {name: 'false', host, port: falseControl.port}],
				callers: {host, port: 0}, admin: {host, port: 0}, graceMilliseconds: 0,
			}),
			security,
			log: createLog('second', 'fatal'),
			seed: 1,
		});
		await waitFor('the entry is ready', () => entry.isReady() || undefined);
	});
	after(async () => {
		process.off('uncaughtException', recordUncaughtError);
		process.off('unhandledRejection', recordUncaughtError);
		sound.close();
		await entry.stop();
		await falseControl.close();
		await system.entry.stop();
		await system.stopControl();
	});

	async function readStatus(): Promise<ClusterStatus> {
		const id = nextId++;
		replies = [];
		sound.send({kind: 'request', id, request: {kind: 'readStatus'}});
		const reply = await waitFor('the control host responds to another link', () => replies.find(candidate => candidate.id === id));
		return reply.answer.status!;
	}

	/** Gets what malformed messages must not change. */
	async function readState(): Promise<unknown> {
		const {term, commitIndex, versions, entries, servers, claims, quarantined, replicas} = await readStatus();
		return {
			term, commitIndex, versions, servers, claims, quarantined, replicas: replicas.map(({replica, role}) => ({replica, role})), entries: entries.map(status => status.entry).toSorted(),
		};
	}

	async function countInternalErrors(port: number): Promise<number> {
		const response = await fetch(`http://${host}:${port}/metrics`);
		const text = await response.text();
		return Number(/^guavadeck_internal_errors_total (?<count>\d+)$/mv.exec(text)?.groups?.count ?? Number.NaN);
	}

	/** Sends a message on a link of its own to the control host. Just this link must end, and nothing may change. */
	async function doTest(message: unknown): Promise<void> {
		const state = await readState();
		const count = await countInternalErrors(system.control.apiPort);
		const isClosed = await new Promise<boolean>(resolve => {
			const dialer = createDialer({
				identity: {...security.link, name: 'malformed'}, host, port: system.control.linksPort, check: other => other, onFailure: recordUncaughtError,
				onConnect() {
					dialer.send(message);
					setTimeout(() => {
						resolve(false);
						dialer.close();
					}, reportMilliseconds * 10);
				},
				onMessage() {
					// A refusal is a possible reply.
				},
				onDisconnect() {
					dialer.close();
					resolve(true);
				},
			});
		});
		await delay(reportMilliseconds);
		expect(uncaughtErrors.splice(0).map(String)).toEqual([]);
		expect(isClosed).toEqual(true);
		expect(await readState()).toEqual(state);
		expect(await countInternalErrors(system.control.apiPort)).toEqual(count + 1);
	}

	/** Sends a message as a control host to the entry. Just this link must end, and the entry keeps the lease of the other host. */
	async function doTestAtEntry(message: unknown): Promise<void> {
		const link = await waitFor('the entry is connected', () => falseLink);
		const count = await countInternalErrors(entry.adminPort);
		link.send(message);
		await waitFor('the link is closed', () => falseLink === link ? undefined : true);
		await delay(reportMilliseconds);
		expect(uncaughtErrors.splice(0).map(String)).toEqual([]);
		expect(entry.isReady()).toEqual(true);
		expect(await countInternalErrors(entry.adminPort)).toEqual(count + 1);
	}

	for (const [name, request] of Object.entries(requests)) {
		test(`that is a request ${name} ends just its link`, async () => doTest({kind: 'request', id: 1, request}));
	}

	for (const [name, message] of Object.entries(messages)) {
		test(`${name} ends just its link`, async () => doTest(message));
	}

	for (const [name, message] of Object.entries(consensusMessages)) {
		test(`of a replica ${name} ends just its link, and changes neither term nor log`, async () => {
			const {replicas} = await readStatus();
			await doTest({
				kind: 'consensus', from: 'b:1', to: replicas[0]!.replica, message,
			});
		});
	}

	test('of the right shape that its handler fails on ends just its link', async () => doTest({
		kind: 'burnReport', entry: 'a', environment: 'production', startedAt: 0, services: [{
			service: 'stock', total: 1, failed: 0, slow: 0, histogram: 'none',
		}],
	}));

	for (const [name, message] of Object.entries(grants)) {
		test(`${name} ends just the link of an entry`, async () => doTestAtEntry(message));
	}

	test('that arrives again and again leaves everything as it is', async () => {
		for (let round = 0; round < 20; round++) {
			await doTest({kind: 'request', id: 1, request: {kind: 'configure'}});
		}

		expect(entry.isReady() && system.entry.isReady()).toEqual(true);
	});
});
