/**
 * Handshake of a link. Each side sends its name and a nonce, and then proves possession of the shared key by an
 * HMAC over both nonces. Any other message before the peer's proof has been verified closes the connection.
 */
import {type Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {Subject} from 'rxjs';
import {
	createFrameReader, encodeFrame, maximumFrameBytes, maximumHandshakeBytes,
} from './frame.js';
import {type Link, type LinkIdentity, type Transfer} from './link.js';
import {
	createLinkCoding, isCompactForm, ownCompactForm, type CompactForm,
} from './link-coding.js';
import {plainCoding} from './payload.js';

const nonceBytes = 16;
const handshakeTimeoutMilliseconds = 2000;

/** Time without a sent message after which a ping is sent. */
const pingIntervalMilliseconds = 600;

/** Time without received data after which the connection is closed: two ping intervals plus a margin for a busy peer. */
const idleTimeoutMilliseconds = 1800;

/** Backlog of unsent bytes in a link's socket at which further messages are dropped. */
const maximumBacklogBytes = 128 * 1024 * 1024;

/** Interval at which a link checks whether to send a ping or to close the connection. */
const keepAliveIntervalMilliseconds = 300;

/** Maximum length of the name of a zone, which settings have too. */
const maximumZoneLength = 63;

/** Keep-alive message, which is not passed on to the receiver. */
const ping = 0;

type Hello = {
	readonly kind: 'hello';
	readonly name: string;
	readonly nonce: Uint8Array;
	/** Compact form that the sender knows; missing from peers of earlier releases. */
	readonly compact?: CompactForm;
	/** Availability zone of the sender; missing from peers of earlier releases. */
	readonly zone?: string | undefined;
};
type Proof = {readonly kind: 'proof'; readonly mac: Uint8Array};

function getMac(sharedKey: string, parts: ReadonlyArray<Uint8Array | string>): Buffer {
	const hmac = createHmac('sha256', sharedKey);
	for (const part of parts) {
		hmac.update(part);
		hmac.update('\0');
	}

	return hmac.digest();
}

function isZone(value: unknown): boolean {
	return value === undefined || (typeof value === 'string' && value.length <= maximumZoneLength);
}

function isHello(value: unknown): value is Hello {
	const hello = value as Partial<Hello> | undefined;
	return hello?.kind === 'hello' && typeof hello.name === 'string' && hello.nonce instanceof Uint8Array && hello.nonce.length === nonceBytes && isCompactForm(hello.compact) && isZone(hello.zone);
}

function isProof(value: unknown): value is Proof {
	const proof = value as Partial<Proof> | undefined;
	return proof?.kind === 'proof' && proof.mac instanceof Uint8Array;
}

/** Options of `startHandshake`: a new connection, and callbacks for its events. */
export type HandshakeOptions<Message> = {
	readonly socket: Socket;
	readonly identity: LinkIdentity;
	readonly side: 'client' | 'server';
	/** Called when the handshake has succeeded. */
	onConnect(link: Link<Message>): void;
	/** Called when the connection is closed, also before the handshake has succeeded. */
	onClose(): void;
	/** Called with each frame that is sent or received. */
	onTransfer?(transfer: Transfer): void;
};

/**
 * Starts the handshake on a new connection.
 * @param options - Socket, identity and event callbacks.
 */
export function startHandshake<Message>(options: HandshakeOptions<Message>): void {
	const {socket, identity, side} = options;
	const reader = createFrameReader(maximumHandshakeBytes);
	const messages = new Subject<Message>();
	const nonce = randomBytes(nonceBytes);
	let peer: Hello | undefined;
	let coding = plainCoding;
	let isOpen = false;
	const handshakeBytes = {sent: 0, received: 0};
	let lastReceivedAt = performance.now();
	let lastSentAt = lastReceivedAt;
	let keepAliveTimer: NodeJS.Timeout | undefined;
	const handshakeTimer = setTimeout(() => {
		socket.destroy();
	}, handshakeTimeoutMilliseconds);
	socket.setNoDelay(true);
	socket.setKeepAlive(true, 1000);
	sendFrame({
		kind: 'hello', name: identity.name, nonce, compact: ownCompactForm, zone: identity.zone,
	});

	/** Reports a frame. Those of the handshake are reported together once it has succeeded, when the zone of the peer is known. */
	function recordTransfer(direction: Transfer['direction'], message: unknown, bytes: number): void {
		if (isOpen) {
			options.onTransfer?.({
				direction, bytes, peerZone: peer?.zone, message: message === ping ? undefined : message,
			});
		} else {
			handshakeBytes[direction] += bytes;
		}
	}

	function sendFrame(message: unknown): void {
		const frame = encodeFrame(message, coding);
		socket.write(frame);
		recordTransfer('sent', message, frame.length);
	}

	/** Gets the HMAC input of one side: its role, the nonce of its peer, its own nonce and its name. */
	function getMacParts(prover: 'client' | 'server', hello: Hello): ReadonlyArray<Uint8Array | string> {
		const isOwnProof = prover === side;
		return isOwnProof ? [prover, hello.nonce, nonce, identity.name] : [prover, nonce, hello.nonce, hello.name];
	}

	/** Sends a ping after the ping interval without a sent message, and closes the connection after the idle timeout without received data. */
	function keepAlive(): void {
		const now = performance.now();
		if (now - lastReceivedAt >= idleTimeoutMilliseconds) {
			socket.destroy();
		} else if (now - lastSentAt >= pingIntervalMilliseconds) {
			write(ping);
		}
	}

	function write(message: unknown): void {
		lastSentAt = performance.now();
		sendFrame(message);
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

	function receiveMessage(message: unknown, bytes: number): void {
		recordTransfer('received', message, bytes);
		if (isOpen) {
			if (message !== ping) {
				messages.next(message as Message);
			}

			return;
		}

		if (peer === undefined && isHello(message)) {
			peer = message;
			sendFrame({kind: 'proof', mac: getMac(identity.sharedKey, getMacParts(side, peer))});
			return;
		}

		const peerSide = side === 'client' ? 'server' : 'client';
		if (peer === undefined || !isProof(message)) {
			socket.destroy();
			return;
		}

		const expected = getMac(identity.sharedKey, getMacParts(peerSide, peer));
		if (message.mac.length !== expected.length || !timingSafeEqual(message.mac, expected)) {
			socket.destroy();
			return;
		}

		isOpen = true;
		clearTimeout(handshakeTimer);
		coding = createLinkCoding(peer.compact);
		reader.setMaximumPayloadBytes(maximumFrameBytes);
		reader.setCoding(coding);
		keepAliveTimer = setInterval(keepAlive, keepAliveIntervalMilliseconds);
		recordTransfer('sent', undefined, handshakeBytes.sent);
		recordTransfer('received', undefined, handshakeBytes.received);
		options.onConnect({...link, peer: peer.name});
	}

	socket.on('data', chunk => {
		lastReceivedAt = performance.now();
		try {
			reader.pushEach(chunk, receiveMessage);
		} catch (error) {
			if (isOpen) {
				messages.error(error);
			}

			socket.destroy();
		}
	});
	socket.on('error', () => {
		socket.destroy();
	});
	socket.on('close', () => {
		clearTimeout(handshakeTimer);
		clearInterval(keepAliveTimer);
		messages.complete();
		options.onClose();
	});
}
