/**
 * The handshake of a link. Each side sends a nonce with its name, then proves with an
 * HMAC over both nonces that it holds the shared key. No other message is read before
 * the proof has been checked.
 */
import {type Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {Subject} from 'rxjs';
import {
	createFrameReader, encodeFrame, maximumFrameBytes, maximumHandshakeBytes,
} from './frame.js';
import {type Link, type LinkIdentity} from './link.js';

const nonceBytes = 16;
const handshakeTimeoutMilliseconds = 2000;

/** Time without a message after which a link sends an empty one, in milliseconds. */
const pingMilliseconds = 600;

/** Silence after which a link counts as dead, in milliseconds: two pings and the time that a busy peer may take. */
const silenceMilliseconds = 1800;

/** Bytes that may wait in a link's socket before further messages are dropped. */
const maximumBacklogBytes = 128 * 1024 * 1024;

/** Interval at which a link is looked after, in milliseconds. */
const pulseMilliseconds = 300;

/** Message that says nothing but that the link works. */
const ping = 0;

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

/** A new connection, and the functions that take its events. */
export type Handshake<Message> = {
	readonly socket: Socket;
	readonly identity: LinkIdentity;
	readonly side: 'client' | 'server';
	opened(link: Link<Message>): void;
	closed(): void;
};

/**
 * Starts the handshake on a new connection.
 * @param handshake - Socket, identity and functions that take events.
 */
export function startHandshake<Message>(handshake: Handshake<Message>): void {
	const {socket, identity, side} = handshake;
	const reader = createFrameReader(maximumHandshakeBytes);
	const messages = new Subject<Message>();
	const nonce = randomBytes(nonceBytes);
	let peer: Hello | undefined;
	let isOpen = false;
	let heardAt = performance.now();
	let sentAt = heardAt;
	let pulse: NodeJS.Timeout | undefined;
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

	/** Keeps the link from falling silent, and ends it when the peer has. */
	function beat(): void {
		const now = performance.now();
		if (now - heardAt >= silenceMilliseconds) {
			socket.destroy();
		} else if (now - sentAt >= pingMilliseconds) {
			write(ping);
		}
	}

	function write(message: unknown): void {
		sentAt = performance.now();
		socket.write(encodeFrame(message));
	}

	const link: Omit<Link<Message>, 'peer'> = {
		messages,
		send(message) {
			if (!socket.destroyed && socket.writableLength < maximumBacklogBytes) {
				write(message);
			}
		},
		close() {
			socket.destroy();
		},
	};

	function accept(message: unknown): void {
		if (isOpen) {
			if (message !== ping) {
				messages.next(message as Message);
			}

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
		pulse = setInterval(beat, pulseMilliseconds);
		handshake.opened({...link, peer: peer.name});
	}

	socket.on('data', chunk => {
		heardAt = performance.now();
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
		clearInterval(pulse);
		messages.complete();
		handshake.closed();
	});
}
