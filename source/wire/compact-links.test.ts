import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {startRawLinkPeer} from '../../stand-in/raw-link-peer.js';
import {waitUntil} from '../../stand-in/wait.js';
import {fieldNames} from './field-names.js';
import {
	createDialer, listenForLinks, receiveMessages, type LinkIdentity,
} from './index.js';

const host = '127.0.0.1';
const waitLimitMilliseconds = 2000;
const message = {kind: 'renewal', entry: 'one', sequence: 1};
const next = {...message, sequence: 2};

/** Number of the field `kind`, which is the first name. */
const kindNumber = '0';

function createIdentity(name: string): LinkIdentity {
	return {name, sharedKey: 'the shared key of both', certificates: undefined};
}

// Guards against a message that is held against the limits of the handshake because it arrives in one piece with the proof, so that a process
// that answers late loses the links on which long messages wait.
describe('a message that arrives together with the proof', () => {
	test('has the limits and the form of an open link', async () => {
		const received: unknown[] = [];
		const listener = await listenForLinks<unknown>({
			identity: createIdentity('server'), setting: 'links', host, port: 0, onConnect(link) {
				link.messages.subscribe(other => {
					received.push(other);
				});
			},
		});
		const socket = connect(listener.port, host);
		const peer = startRawLinkPeer(socket, 'client', createIdentity('raw'), {compact: {names: 1}});
		const long = {kind: 'renewal', absent: Array.from({length: 2000}, (_, index) => 100_000 + index)};
		peer.sendWithProof([0, long]);
		peer.sendWithProof([0, 0, 'grant', 1, []]);
		await waitUntil('both messages have arrived', waitLimitMilliseconds, async () => received.length === 2);
		socket.destroy();
		await listener.close();
		expect(received).toEqual([long, {kind: 'grant', absent: []}]);
	});
});

// Guards against an upgrade in which processes of two releases do not understand each other.
describe('links to peers that know another compact form', () => {
	type Case = {
		/** What the peer states in its hello message. */
		readonly statement: object;
		/** What the peer gets for the two messages, as CBOR items. */
		readonly expected: readonly unknown[];
		/** What the peer sends, beside the items that are expected to arrive at this end. */
		readonly sent?: readonly unknown[];
	};

	const plain: Case = {statement: {}, expected: [message, next]};
	const cases: Readonly<Record<string, Case>> = {
		'of an earlier release get and send the plain form': plain,
		'that know one name get numbers just for it': {
			statement: {compact: {names: 1}},
			expected: [[0, {[kindNumber]: 'renewal', entry: 'one', sequence: 1}], [0, 2, 2]],
			sent: [[0, {kind: 'renewal', entry: 'one', sequence: 1}], [0, 2, 2]],
		},
		'that know more names get numbers for those that this end knows': {
			statement: {compact: {names: fieldNames.length + 5, later: true}},
			expected: [[0, {[kindNumber]: 'renewal', 1: 'one', 4: 1}], [0, 2, 2]],
			sent: [[0, message], [0, 2, 2]],
		},
	};

	/** Exchanges the two messages between a dialer of this release and a raw peer that listens. */
	async function doTestAsClient({statement, expected, sent = [message, next]}: Case): Promise<void> {
		const received: unknown[] = [];
		const raw: {peer?: ReturnType<typeof startRawLinkPeer>; socket?: Socket} = {};
		const server = createServer(socket => {
			raw.socket = socket;
			raw.peer = startRawLinkPeer(socket, 'server', createIdentity('raw'), statement);
		});
		server.listen(0, host);
		await once(server, 'listening');
		const dialer = createDialer<unknown>({
			identity: createIdentity('client'), host, port: (server.address() as AddressInfo).port, check: other => other, onMessage(other) {
				received.push(other);
			},
			onFailure({error}) {
				throw error;
			},
			onConnect() {
				dialer.send(message);
				dialer.send(next);
				for (const item of sent) {
					raw.peer!.send(item);
				}
			},
			onDisconnect() {
				// The test ends the link.
			},
		});
		await waitUntil('both ends have two messages', waitLimitMilliseconds, async () => raw.peer?.received.length === 2 && received.length === 2);
		dialer.close();
		raw.socket!.destroy();
		server.close();
		expect([received, raw.peer!.received]).toEqual([[message, next], [...expected]]);
	}

	/** Exchanges the two messages between a listener of this release and a raw peer that dials. */
	async function doTestAsServer({statement, expected, sent = [message, next]}: Case): Promise<void> {
		const received: unknown[] = [];
		const listener = await listenForLinks<unknown>({
			identity: createIdentity('server'), setting: 'links', host, port: 0, onConnect(link) {
				link.messages.subscribe(other => {
					received.push(other);
				});
				link.send(message);
				link.send(next);
			},
		});
		const socket = connect(listener.port, host);
		const peer = startRawLinkPeer(socket, 'client', createIdentity('raw'), statement);
		await waitUntil('the peer has two messages', waitLimitMilliseconds, async () => peer.received.length === 2);
		for (const item of sent) {
			peer.send(item);
		}

		await waitUntil('the listener has two messages', waitLimitMilliseconds, async () => received.length === 2);
		socket.destroy();
		await listener.close();
		expect([received, peer.received]).toEqual([[message, next], [...expected]]);
	}

	for (const [name, peerCase] of Object.entries(cases)) {
		test(`${name} (dialer)`, async () => doTestAsClient(peerCase));
		test(`${name} (listener)`, async () => doTestAsServer(peerCase));
	}
});

describe('links to peers that send a malformed compact form', () => {
	async function doTest(statement: object, items: readonly unknown[], expectedErrors: readonly string[]): Promise<void> {
		const errors: unknown[] = [];
		let isOpen = false;
		const listener = await listenForLinks<unknown>({
			identity: createIdentity('server'), setting: 'links', host, port: 0, onConnect(link) {
				isOpen = true;
				receiveMessages(link, {
					check: other => other, onFailure(failure) {
						errors.push(failure.error);
					},
					handle() {
						throw new Error('no message must arrive');
					},
				});
			},
		});
		const socket = connect(listener.port, host);
		const closed = once(socket, 'close');
		const peer = startRawLinkPeer(socket, 'client', createIdentity('raw'), statement);
		if (items.length > 0) {
			await waitUntil('the link is open', waitLimitMilliseconds, async () => isOpen);
		}

		for (const item of items) {
			peer.send(item);
		}

		await closed;
		await listener.close();
		expect(errors.map(String)).toEqual([...expectedErrors]);
		expect(isOpen).toEqual(items.length > 0);
	}

	test('are refused in the handshake for names that are no number', async () => doTest({compact: {names: 'all'}}, [], []));
	test('are refused in the handshake for a negative number of names', async () => doTest({compact: {names: -1}}, [], []));
	test('are refused in the handshake for nothing in place of the form', async () => doTest({compact: null}, [], []));
	test('end with one error for a template that was not sent', async () => doTest({compact: {names: 1}}, [[0, 2, 2], [0, 2, 2]], [
		'FrameError: frame payload is malformed: changes refer to a template that was not sent',
	]));
});
