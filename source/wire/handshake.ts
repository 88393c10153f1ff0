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
import {createKeepAlive, keepAliveIntervalMilliseconds} from './keep-alive.js';
import {type Link, type LinkIdentity, type Transfer} from './link.js';
import {
	createLinkCoding, isCompactForm, ownCompactForm, type CompactForm,
} from './link-coding.js';
import {plainCoding} from './payload.js';

const nonceBytes = 16;
const handshakeTimeoutMilliseconds = 2000;

/** Backlog of unsent bytes in a link's socket at which further messages are dropped. */
const maximumBacklogBytes = 128 * 1024 * 1024;

/** Time without data after which the system probes a connection; links with slow pings are silent for longer than others. */
const usualProbeMilliseconds = 1000;
const slowProbeMilliseconds = 10_000;

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
	/** Whether the sender allows fewer pings while the link is not used; missing from peers of earlier releases. */
	readonly slowPings?: boolean;
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
	let keepAlive = createKeepAlive(false, performance.now());
	let keepAliveTimer: NodeJS.Timeout | undefined;
	const handshakeTimer = setTimeout(() => {
		socket.destroy();
	}, handshakeTimeoutMilliseconds);
	socket.setNoDelay(true);
	socket.setKeepAlive(true, usualProbeMilliseconds);
	sendFrame({
		kind: 'hello', name: identity.name, nonce, compact: ownCompactForm, zone: identity.zone, slowPings: identity.allowsSlowPings === true,
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

	function startKeepAlive(isSlowAllowed: boolean): void {
		keepAlive = createKeepAlive(isSlowAllowed, performance.now());
		keepAliveTimer = setInterval(checkPeer, keepAliveIntervalMilliseconds);
		if (isSlowAllowed) {
			socket.setKeepAlive(true, slowProbeMilliseconds);
		}
	}

	function checkPeer(): void {
		const action = keepAlive.getAction(performance.now());
		if (action === 'close') {
			socket.destroy();
		} else if (action === 'ping') {
			write(ping);
		}
	}

	function write(message: unknown): void {
		keepAlive.recordSent(performance.now(), message === ping);
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
				keepAlive.recordMessage(performance.now());
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
		startKeepAlive(identity.allowsSlowPings === true && peer.slowPings === true);
		recordTransfer('sent', undefined, handshakeBytes.sent);
		recordTransfer('received', undefined, handshakeBytes.received);
		options.onConnect({...link, peer: peer.name});
	}

	socket.on('data', chunk => {
		keepAlive.recordReceived(performance.now());
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
