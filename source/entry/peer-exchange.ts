/** Exchanges requests in flight with the other entries. */
import {type PeerCounts, type CountsMessage, type CountsReporter} from '../choice/index.js';
import {type PeerAddress} from '../lease/index.js';
import {
	createDialer, listenForLinks, type Dialer, type LinkIdentity, type LinkListener,
} from '../wire/index.js';
import {type Address} from '../settings/index.js';

/** Links to the other entries. */
export type Peers = {
	/** Keeps links to exactly these peers. */
	setAddresses(addresses: readonly PeerAddress[]): void;
	/** Sends the counts that changed. */
	sendChanges(): void;
	getCount(): number;
	getSentFrames(): number;
	stop(): Promise<void>;
};

/** Options of `startPeers`. */
export type PeerExchangeOptions = {
	readonly identity: LinkIdentity;
	readonly address: Address;
	readonly counts: PeerCounts;
	readonly reporter: CountsReporter;
	getOwnCounts(): Iterable<{readonly server: number; readonly inFlight: number}>;
	/** Takes servers whose joint counts changed. */
	countsChanged(servers: readonly number[]): void;
};

/** Peers, and the port on which they reach this entry. */
export type PeerExchange = {readonly peers: Peers; readonly port: number};

/**
 * Starts to listen for peers.
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
		opened(link) {
			link.messages.subscribe({
				next(message) {
					options.countsChanged(options.counts.receive({...message, entry: link.peer}));
				},
				complete() {
					options.countsChanged(options.counts.removePeer(link.peer));
				},
			});
		},
	});

	function dial(peer: PeerAddress): Dialer {
		const dialer: Dialer = createDialer({
			identity: options.identity,
			host: peer.host,
			port: peer.port,
			received() {
				// Counts arrive on the links that peers dial.
			},
			opened() {
				dialer.send(options.reporter.getAll());
			},
			closed() {
				// The dialer connects again by itself.
			},
		});
		return dialer;
	}

	const peers: Peers = {
		setAddresses(addresses) {
			const keys = new Set(addresses.map(peer => getKey(peer)));
			for (const [key, dialer] of dialers) {
				if (!keys.has(key)) {
					dialer.close();
					dialers.delete(key);
				}
			}

			for (const peer of addresses) {
				const key = getKey(peer);
				if (!dialers.has(key)) {
					dialers.set(key, dial(peer));
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

function getKey(peer: PeerAddress): string {
	return `${peer.name} ${peer.host} ${peer.port}`;
}
