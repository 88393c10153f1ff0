/** Accepts links. */
import {createServer, type Server, type Socket} from 'node:net';
import {createServer as createTlsServer} from 'node:tls';
import {startHandshake} from './handshake.js';
import {type Link, type LinkIdentity} from './link.js';
import {listen} from './listen.js';

const tlsHandshakeMilliseconds = 2000;

/** Accepts links. */
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
	opened(link: Link<Message>): void;
};

/**
 * Listens for links.
 * @param options - Address, identity and the function that takes each new link.
 */
export async function listenForLinks<Message>(options: LinkListenerOptions<Message>): Promise<LinkListener> {
	const sockets = new Set<Socket>();

	function accept(socket: Socket): void {
		startHandshake<Message>({
			socket,
			identity: options.identity,
			side: 'server',
			opened: options.opened,
			closed() {
				// The connection below is forgotten when it closes.
			},
		});
	}

	/** Remembers a connection, also one whose TLS handshake has not ended. */
	function remember(socket: Socket): void {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	}

	const {certificates} = options.identity;
	const server: Server = certificates === undefined
		? createServer(accept)
		: createTlsServer({
			cert: certificates.certificate, key: certificates.key, ca: certificates.authority, requestCert: true, handshakeTimeout: tlsHandshakeMilliseconds,
		}, accept);
	server.on('connection', remember);
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
