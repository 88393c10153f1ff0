import {
	after, before, describe, test,
} from 'node:test';
import {expect} from 'earl';
import {createCountsReporter, createPeerCounts} from '../../choice/index.js';
import {createDialer, type LinkIdentity} from '../../wire/index.js';
import {startPeerExchange, type PeerExchange} from './peer-exchange.js';

const host = '127.0.0.1';

function createIdentity(name: string): LinkIdentity {
	return {name, sharedKey: 'key', certificates: undefined};
}

// Guards against an entry that another one ends by a message with malformed counts.
describe('startPeerExchange', () => {
	const counts = createPeerCounts();
	const failures: string[] = [];
	let exchange: PeerExchange;

	before(async () => {
		exchange = await startPeerExchange({
			identity: createIdentity('entry'),
			address: {host, port: 0},
			counts,
			reporter: createCountsReporter('entry'),
			getOwnCounts: () => [],
			onCountsChange(servers) {
				if (servers.includes(13) && counts.get(13) > 0) {
					throw new Error('unexpected');
				}
			},
			onFailure({peer}) {
				failures.push(peer);
			},
		});
	});
	after(async () => {
		await exchange.peers.stop();
	});

	/** Sends sound counts and then a message. Just the link of the sender must end, and its counts with it. */
	async function doTest(message: unknown): Promise<void> {
		failures.length = 0;
		await new Promise<void>(resolve => {
			const dialer = createDialer<unknown>({
				identity: createIdentity('peer'), host, port: exchange.port, check: other => other,
				onConnect() {
					dialer.send({
						kind: 'counts', isWhole: true, servers: [4], inFlight: [2],
					});
					dialer.send(message);
				},
				onMessage() {
					// Entries send their counts on the links that they open themselves.
				},
				onFailure({error}) {
					throw error;
				},
				onDisconnect() {
					dialer.close();
					resolve();
				},
			});
		});
		expect([failures, counts.get(4), counts.get(5)]).toEqual([['peer'], 0, 0]);
	}

	test('ends just the link of null', async () => doTest(null));
	test('ends just the link of counts without servers', async () => doTest({kind: 'counts', isWhole: true}));
	test('ends just the link of a count that is none', async () => doTest({
		kind: 'counts', isWhole: false, servers: [5], inFlight: ['many'],
	}));
	test('ends just the link of a message that its handler fails on', async () => doTest({
		kind: 'counts', isWhole: false, servers: [13], inFlight: [1],
	}));
});
