/**
 * Authenticated links between processes over TCP. Each side sends a nonce with its
 * name, then proves with an HMAC over both nonces that it holds the shared key.
 * No other message is read before the proof has been checked.
 */
import {type Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {connect as connectTls, createServer as createTlsServer} from 'node:tls';
import {Subject, type Observable} from 'rxjs';
import {
	createFrameReader, encodeFrame, maximumFrameBytes, maximumHandshakeBytes,
} from './frame.js';

const nonceBytes = 16;
const handshakeTimeoutMilliseconds = 2000;
const reconnectMilliseconds = 100;
const connectTimeoutMilliseconds = 1000;

/** Bytes that may wait in a link's socket before further messages are dropped. */
const maximumBacklogBytes = 128 * 1024 * 1024;

/** Certificates of a link, as PEM text. */
export type LinkCertificates = {
	readonly certificate: string;
	readonly key: string;
	readonly authority: string;
};

/** What a process presents when it links to another. */
export type LinkIdentity = {
	readonly name: string;
	readonly sharedKey: string;
	readonly certificates: LinkCertificates | undefined;
};

/** One authenticated connection. */
export type Link<Message> = {
	/** Name that the peer gave. */
	readonly peer: string;
	readonly messages: Observable<Message>;
	/** Sends a message, or drops it when the connection is gone or its backlog is full. */
	send(message: unknown): void;
	close(): void;
};

type Hello = {readonly kind: 'hello'; readonly name: string; readonly nonce: Uint8Array};
type Proof = {readonly kind: 'proof'; readonly mac: Uint8Array};

function getMac(sharedKey: string, parts: ReadonlyArray<Uint8Array | string>): Buffer {
	const hmac = createHmac('sha256', sharedKey);
	for (const part of parts) {
		hmac.update(part);
		hmac.update('\0');
	}

	return hmac.digest();
}

function isHello(value: unknown): value is Hello {
	const hello = value as Partial<Hello> | undefined;
	return hello?.kind === 'hello' && typeof hello.name === 'string' && hello.nonce instanceof Uint8Array && hello.nonce.length === nonceBytes;
}

function isProof(value: unknown): value is Proof {
	const proof = value as Partial<Proof> | undefined;
	return proof?.kind === 'proof' && proof.mac instanceof Uint8Array;
}

type Handshake<Message> = {
	readonly socket: Socket;
	readonly identity: LinkIdentity;
	readonly side: 'client' | 'server';
	opened(link: Link<Message>): void;
	closed(): void;
};

function startHandshake<Message>(handshake: Handshake<Message>): void {
	const {socket, identity, side} = handshake;
	const reader = createFrameReader(maximumHandshakeBytes);
	const messages = new Subject<Message>();
	const nonce = randomBytes(nonceBytes);
	let peer: Hello | undefined;
	let isOpen = false;
	const timer = setTimeout(() => {
		socket.destroy();
	}, handshakeTimeoutMilliseconds);
	socket.setNoDelay(true);
	socket.setKeepAlive(true, 1000);
	socket.write(encodeFrame({kind: 'hello', name: identity.name, nonce}));

	function getParts(prover: 'client' | 'server', hello: Hello): ReadonlyArray<Uint8Array | string> {
		const isOwn = prover === side;
		return isOwn ? [prover, hello.nonce, nonce, identity.name] : [prover, nonce, hello.nonce, hello.name];
	}

	const link: Omit<Link<Message>, 'peer'> = {
		messages,
		send(message) {
			if (!socket.destroyed && socket.writableLength < maximumBacklogBytes) {
				socket.write(encodeFrame(message));
			}
		},
		close() {
			socket.destroy();
		},
	};

	function accept(message: unknown): void {
		if (isOpen) {
			messages.next(message as Message);
			return;
		}

		if (peer === undefined && isHello(message)) {
			peer = message;
			socket.write(encodeFrame({kind: 'proof', mac: getMac(identity.sharedKey, getParts(side, peer))}));
			return;
		}

		const other = side === 'client' ? 'server' : 'client';
		if (peer === undefined || !isProof(message)) {
			socket.destroy();
			return;
		}

		const expected = getMac(identity.sharedKey, getParts(other, peer));
		if (message.mac.length !== expected.length || !timingSafeEqual(message.mac, expected)) {
			socket.destroy();
			return;
		}

		isOpen = true;
		clearTimeout(timer);
		reader.setBound(maximumFrameBytes);
		handshake.opened({...link, peer: peer.name});
	}

	socket.on('data', chunk => {
		try {
			for (const message of reader.push(chunk)) {
				accept(message);
			}
		} catch {
			socket.destroy();
		}
	});
	socket.on('error', () => {
		socket.destroy();
	});
	socket.on('close', () => {
		clearTimeout(timer);
		messages.complete();
		handshake.closed();
	});
}

/** Accepts links. */
export type LinkListener = {
	readonly port: number;
	close(): Promise<void>;
};

/** Options of a listener. */
export type LinkListenerOptions<Message> = {
	readonly identity: LinkIdentity;
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
		sockets.add(socket);
		startHandshake<Message>({
			socket,
			identity: options.identity,
			side: 'server',
			opened: options.opened,
			closed() {
				sockets.delete(socket);
			},
		});
	}

	const {certificates} = options.identity;
	const server: Server = certificates === undefined
		? createServer(accept)
		: createTlsServer({
			cert: certificates.certificate, key: certificates.key, ca: certificates.authority, requestCert: true,
		}, accept);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(options.port, options.host, resolve);
	});
	const address = server.address();
	return {
		port: typeof address === 'object' && address !== null ? address.port : options.port,
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
