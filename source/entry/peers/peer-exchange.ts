/** Exchanges the numbers of requests in flight on each server with the other entries. */
import {type PeerCounts, type CountsMessage, type CountsReporter} from '../../choice/index.js';
import {type PeerAddress} from '../../lease/index.js';
import {
	createDialer, listenForLinks, receiveMessages, type Dialer, type LinkIdentity, type LinkListener, type MessageReceiver, type Transfer,
} from '../../wire/index.js';
import {type Address} from '../../settings/index.js';
import {checkCounts} from './counts-check.js';

/** Links to the other entries (peers). */
export type Peers = {
	/** Replaces the peers: closes the links to others and opens the missing ones. */
	setAddresses(addresses: readonly PeerAddress[]): void;
	/** Sends the counts that changed since the last call to all peers. */
	sendChanges(): void;
	getCount(): number;
	getSentFrames(): number;
	stop(): Promise<void>;
};

/** Options of `startPeerExchange`. */
export type PeerExchangeOptions = {
	readonly identity: LinkIdentity;
	readonly address: Address;
	readonly counts: PeerCounts;
	readonly reporter: CountsReporter;
	getOwnCounts(): Iterable<{readonly server: number; readonly inFlight: number}>;
	/** Called after a link was ended because of an error. */
	readonly onFailure: MessageReceiver<CountsMessage>['onFailure'];
	/** Called with each frame that is sent or received. */
	readonly onTransfer?: (transfer: Transfer) => void;
	/** Called with the ids of the servers whose counts from peers changed. */
	onCountsChange(servers: readonly number[]): void;
};

/** A running exchange of counts, with the port on which this entry accepts links from peers. */
export type PeerExchange = {readonly peers: Peers; readonly port: number};

/**
 * Starts to accept links from peers.
 * @param options - Address, identity and counts.
 */
export async function startPeerExchange(options: PeerExchangeOptions): Promise<PeerExchange> {
	const dialers = new Map<string, Dialer>();
	let sentFrames = 0;
	const listener: LinkListener = await listenForLinks<CountsMessage>({
		identity: options.identity,
		setting: 'peers',
		host: options.address.host,
		port: options.address.port,
		onTransfer(transfer) {
			options.onTransfer?.(transfer);
		},
		onConnect(link) {
			receiveMessages<CountsMessage>(link, {
				check: checkCounts,
				handle(message) {
					options.onCountsChange(options.counts.receive({...message, entry: link.peer}));
				},
				onFailure: options.onFailure,
				onClose() {
					options.onCountsChange(options.counts.removePeer(link.peer));
				},
			});
		},
	});

	function createPeerDialer(peer: PeerAddress): Dialer {
		const dialer: Dialer = createDialer({
			identity: options.identity,
			host: peer.host,
			port: peer.port,
			check: checkCounts,
			onFailure: options.onFailure,
			onTransfer(transfer) {
				options.onTransfer?.(transfer);
			},
			onMessage() {
				// Peers send their counts on the links that they open themselves.
			},
			onConnect() {
				dialer.send(options.reporter.getAll());
			},
			onDisconnect() {
				// The dialer reconnects automatically.
			},
		});
		return dialer;
	}

	const peers: Peers = {
		setAddresses(addresses) {
			const keys = new Set(addresses.map(peer => getPeerKey(peer)));
			for (const [key, dialer] of dialers) {
				if (!keys.has(key)) {
					dialer.close();
					dialers.delete(key);
				}
			}

			for (const peer of addresses) {
				const key = getPeerKey(peer);
				if (!dialers.has(key)) {
					dialers.set(key, createPeerDialer(peer));
				}
			}
		},
		sendChanges() {
			const message = options.reporter.takeChanges(options.getOwnCounts());
			if (message === undefined) {
				return;
			}

			for (const dialer of dialers.values()) {
				sentFrames++;
				dialer.send(message);
			}
		},
		getCount: () => dialers.size,
		getSentFrames: () => sentFrames,
		async stop() {
			for (const dialer of dialers.values()) {
				dialer.close();
			}

			await listener.close();
		},
	};
	return {peers, port: listener.port};
}

function getPeerKey(peer: PeerAddress): string {
	return `${peer.name} ${peer.host} ${peer.port}`;
}
