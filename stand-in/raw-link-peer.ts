/** Peer of a link that performs the handshake by itself, for ends of other releases. It states the given compact form, and shows frames undecoded. */
import {type Buffer} from 'node:buffer';
import {createHmac, randomBytes} from 'node:crypto';
import {type Socket} from 'node:net';
import {createFrameReader, encodeFrame, type LinkIdentity} from '../source/wire/index.js';

/** A peer whose handshake has begun. */
export type RawLinkPeer = {
	/** Received messages, as CBOR items without the compact form. */
	readonly received: unknown[];
	/** Sends an item in the plain form. */
	send(item: unknown): void;
	/** Sends an item in one piece with the proof of this peer, which follows the first message of the other end. */
	sendWithProof(item: unknown): void;
};

type Hello = {readonly name: string; readonly nonce: Uint8Array};

/**
 * Starts the handshake on a connection.
 * @param socket - New connection.
 * @param side - Side of this peer.
 * @param identity - Name and key of this peer.
 * @param statement - Further fields of its hello message; none for a peer of an earlier release.
 */
export function startRawLinkPeer(socket: Socket, side: 'client' | 'server', identity: LinkIdentity, statement: object): RawLinkPeer {
	const nonce = randomBytes(16);
	const reader = createFrameReader();
	const received: unknown[] = [];
	const firstItems: unknown[] = [];
	let handshakeMessages = 0;

	function getMac(hello: Hello): Buffer {
		const hmac = createHmac('sha256', identity.sharedKey);
		for (const part of [side, hello.nonce, nonce, identity.name]) {
			hmac.update(part).update('\0');
		}

		return hmac.digest();
	}

	function send(item: unknown): void {
		socket.write(encodeFrame(item));
	}

	socket.on('data', chunk => {
		for (const item of reader.push(chunk)) {
			handshakeMessages++;
			if (handshakeMessages === 1) {
				socket.cork();
				for (const first of [{kind: 'proof', mac: getMac(item as Hello)}, ...firstItems]) {
					send(first);
				}

				socket.uncork();
			} else if (handshakeMessages > 2) {
				received.push(item);
			}
		}
	});
	socket.on('error', () => {
		// The other end may reset the connection.
	});
	send({
		kind: 'hello', name: identity.name, nonce, ...statement,
	});
	return {
		received,
		send,
		sendWithProof(item) {
			firstItems.push(item);
		},
	};
}
