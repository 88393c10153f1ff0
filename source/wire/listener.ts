/** Server side of links: listens on an address and accepts connections. */
import {createServer, type Server, type Socket} from 'node:net';
import {createServer as createTlsServer} from 'node:tls';
import {startHandshake} from './handshake.js';
import {type Link, type LinkIdentity, type Transfer} from './link.js';
import {listen} from './listen.js';

const tlsHandshakeTimeoutMilliseconds = 2000;

/** A listener for links. */
export type LinkListener = {
	readonly port: number;
	close(): Promise<void>;
};

/** Options of a listener. */
export type LinkListenerOptions<Message> = {
	readonly identity: LinkIdentity;
	/** Name of the setting that holds the address. */
	readonly setting: string;
	readonly host: string;
	readonly port: number;
	/** Called with each new link, after its handshake has succeeded. */
	onConnect(link: Link<Message>): void;
	/** Called with each frame that is sent or received. */
	onTransfer?(transfer: Transfer): void;
};

/**
 * Listens for links.
 * @param options - Address, identity and the callback for new links.
 */
export async function listenForLinks<Message>(options: LinkListenerOptions<Message>): Promise<LinkListener> {
	const sockets = new Set<Socket>();

	function acceptConnection(socket: Socket): void {
		startHandshake<Message>({
			socket,
			identity: options.identity,
			side: 'server',
			onConnect: options.onConnect,
			onTransfer(transfer) {
				options.onTransfer?.(transfer);
			},
			onClose() {
				// `trackConnection` removes the socket when it closes.
			},
		});
	}

	/** Tracks a connection from before its TLS handshake until it closes, so that `close` can end it at any time. */
	function trackConnection(socket: Socket): void {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	}

	const {certificates} = options.identity;
	const server: Server = certificates === undefined
		? createServer(acceptConnection)
		: createTlsServer({
			cert: certificates.certificate, key: certificates.key, ca: certificates.authority, requestCert: true, handshakeTimeout: tlsHandshakeTimeoutMilliseconds,
		}, acceptConnection);
	server.on('connection', trackConnection);
	const port = await listen(server, {setting: options.setting, host: options.host, port: options.port});
	return {
		port,
		async close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}
