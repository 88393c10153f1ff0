/** Client side of links: connects to an address, and reconnects when the connection breaks. */
import {connect, type Socket} from 'node:net';
import {connect as connectTls} from 'node:tls';
import {startHandshake} from './handshake.js';
import {type Link, type LinkIdentity, type Transfer} from './link.js';
import {receiveMessages, type MessageReceiver} from './message-boundary.js';

const reconnectDelayMilliseconds = 100;

/**
 * Time after which the first attempt to connect is abandoned, in milliseconds. It doubles with each further attempt. A host without power
 * does not answer at all, so after a power loss of all hosts a long first attempt would outlast its start.
 */
const firstConnectTimeoutMilliseconds = 100;

/** Maximum time after which an attempt to connect is abandoned: many round trips, also between regions. */
const maximumConnectTimeoutMilliseconds = 500;

/** A link that reconnects whenever its connection breaks. */
export type Dialer = {
	/** Sends a message, or drops it while the link is not connected or its backlog is full. */
	send(message: unknown): void;
	isConnected(): boolean;
	/** Gets the number of unsent bytes in the socket's buffer. */
	getBacklogBytes(): number;
	close(): void;
};

/** Options of a dialer. */
export type DialerOptions<Message> = {
	readonly identity: LinkIdentity;
	readonly host: string;
	readonly port: number;
	/** Checks the form of a message, and returns it. Throws an error if it is malformed. */
	readonly check: MessageReceiver<Message>['check'];
	onMessage(message: Message): void;
	/** Called after a link was ended because a message was malformed or its handler failed. The dialer connects again. */
	readonly onFailure: MessageReceiver<Message>['onFailure'];
	/** Called when a link is open, that is, after each successful handshake. */
	onConnect(): void;
	/** Called when an open link is closed. */
	onDisconnect(): void;
	/** Called with each frame that is sent or received. */
	onTransfer?(transfer: Transfer): void;
};

/**
 * Creates a dialer, which starts to connect immediately.
 * @param options - Address, identity and event callbacks.
 */
export function createDialer<Message>(options: DialerOptions<Message>): Dialer {
	let currentLink: Link<unknown> | undefined;
	let socket: Socket | undefined;
	let reconnectTimer: NodeJS.Timeout | undefined;
	let connectTimeoutMilliseconds = firstConnectTimeoutMilliseconds;
	let isClosed = false;

	function dial(): void {
		const {certificates} = options.identity;
		const newSocket: Socket = certificates === undefined
			? connect(options.port, options.host)
			: connectTls({
				port: options.port, host: options.host, cert: certificates.certificate, key: certificates.key, ca: certificates.authority, checkServerIdentity: () => undefined,
			});
		socket = newSocket;
		const connectTimer = setTimeout(() => {
			newSocket.destroy();
		}, connectTimeoutMilliseconds);
		connectTimeoutMilliseconds = Math.min(maximumConnectTimeoutMilliseconds, connectTimeoutMilliseconds * 2);
		newSocket.once('connect', () => {
			clearTimeout(connectTimer);
			connectTimeoutMilliseconds = firstConnectTimeoutMilliseconds;
		});
		startHandshake<unknown>({
			socket: newSocket,
			identity: options.identity,
			side: 'client',
			onTransfer(transfer) {
				options.onTransfer?.(transfer);
			},
			onConnect(link) {
				currentLink = link;
				receiveMessages<Message>(link, {check: options.check, handle: options.onMessage, onFailure: options.onFailure});
				options.onConnect();
			},
			onClose() {
				clearTimeout(connectTimer);
				const wasConnected = currentLink !== undefined;
				currentLink = undefined;
				if (wasConnected) {
					options.onDisconnect();
				}

				if (!isClosed) {
					reconnectTimer = setTimeout(dial, reconnectDelayMilliseconds);
				}
			},
		});
	}

	dial();
	return {
		send(message) {
			currentLink?.send(message);
		},
		isConnected: () => currentLink !== undefined,
		getBacklogBytes: () => socket?.writableLength ?? 0,
		close() {
			isClosed = true;
			clearTimeout(reconnectTimer);
			socket?.destroy();
		},
	};
}
