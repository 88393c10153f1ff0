/** Connections of callers whose bytes a test determines, and what they receive. */
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {readResponses, type Ending} from './response-text.js';

const pollMilliseconds = 5;

/** Connection of a caller, what it received, and how it ended. */
export type Conversation = {readonly socket: Socket; getText(): string; getEnding(): Ending};

/**
 * Connects to an address and sends a text in latin1. The connection stays half-open.
 * @param host - IP address.
 * @param port - Port.
 * @param text - Bytes to send.
 */
export function converse(host: string, port: number, text: string): Conversation {
	const socket = connect({host, port, allowHalfOpen: true});
	let received = '';
	let ending: Ending = 'open';
	socket.on('data', data => {
		received += data.toString('latin1');
	});
	socket.once('end', () => {
		ending = ending === 'open' ? 'ordered' : ending;
		socket.end();
	});
	socket.once('error', () => {
		ending = 'reset';
		socket.destroy();
	});
	socket.once('close', () => {
		ending = ending === 'open' ? 'reset' : ending;
	});
	socket.write(text, 'latin1');
	return {socket, getText: () => received, getEnding: () => ending};
}

/**
 * Waits until a conversation is over or has a number of complete responses, and returns whether either came in time.
 * @param conversation - Conversation.
 * @param count - Number of complete responses.
 * @param limitMilliseconds - Longest wait.
 */
export async function waitForResponses(conversation: Conversation, count: number, limitMilliseconds: number): Promise<boolean> {
	const {getText, getEnding} = conversation;
	const until = Date.now() + limitMilliseconds;
	let readLength = -1;
	while (Date.now() < until) {
		if (getEnding() !== 'open') {
			return true;
		}

		const text = getText();
		if (text.length !== readLength) {
			readLength = text.length;
			if (readResponses(text, 'open').filter(({body}) => body !== undefined).length >= count) {
				return true;
			}
		}

		await delay(pollMilliseconds);
	}

	return false;
}
