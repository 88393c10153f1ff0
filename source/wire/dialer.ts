/** Keeps links to addresses. */
import {connect, type Socket} from 'node:net';
import {connect as connectTls} from 'node:tls';
import {startHandshake} from './handshake.js';
import {type Link, type LinkIdentity} from './link.js';

const reconnectMilliseconds = 100;
/** Time after which a connection that nobody answers is given up, in milliseconds: many round trips, less than a dark host takes to return. */
const connectTimeoutMilliseconds = 500;

/** A link that connects again whenever it breaks. */
export type Dialer = {
	/** Sends a message, or drops it while there is no connection. */
	send(message: unknown): void;
	isConnected(): boolean;
	/** Gets the bytes that wait to be sent. */
	getBacklogBytes(): number;
	close(): void;
};

/** Options of a dialer. */
export type DialerOptions<Message> = {
	readonly identity: LinkIdentity;
	readonly host: string;
	readonly port: number;
	received(message: Message): void;
	opened(): void;
	closed(): void;
};

/**
 * Keeps a link to an address.
 * @param options - Address, identity and functions that take events.
 */
export function createDialer<Message>(options: DialerOptions<Message>): Dialer {
	let current: Link<Message> | undefined;
	let socket: Socket | undefined;
	let timer: NodeJS.Timeout | undefined;
	let isClosed = false;

	function dial(): void {
		const {certificates} = options.identity;
		const opened: Socket = certificates === undefined
			? connect(options.port, options.host)
			: connectTls({
				port: options.port, host: options.host, cert: certificates.certificate, key: certificates.key, ca: certificates.authority, checkServerIdentity: () => undefined,
			});
		socket = opened;
		const timeout = setTimeout(() => {
			opened.destroy();
		}, connectTimeoutMilliseconds);
		opened.once('connect', () => {
			clearTimeout(timeout);
		});
		startHandshake<Message>({
			socket: opened,
			identity: options.identity,
			side: 'client',
			opened(link) {
				current = link;
				link.messages.subscribe(message => {
					options.received(message);
				});
				options.opened();
			},
			closed() {
				clearTimeout(timeout);
				const wasOpen = current !== undefined;
				current = undefined;
				if (wasOpen) {
					options.closed();
				}

				if (!isClosed) {
					timer = setTimeout(dial, reconnectMilliseconds);
				}
			},
		});
	}

	dial();
	return {
		send(message) {
			current?.send(message);
		},
		isConnected: () => current !== undefined,
		getBacklogBytes: () => socket?.writableLength ?? 0,
		close() {
			isClosed = true;
			clearTimeout(timer);
			socket?.destroy();
		},
	};
}
