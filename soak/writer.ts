/** Writes the responses of an upstream to its connections: once, twice, in pieces or not to the end. */
import {type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type Random} from '../source/randomness/index.js';
import {abortConnection} from './abort-connection.js';
import {type Manner} from './manner.js';

const longestCopyDelayMilliseconds = 30;
const longestPieceGapMilliseconds = 8;
const longestBreakMilliseconds = 12;
const maximumPieces = 3;

/** Response that belongs to no request. */
const foreignResponse = 'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign';

/** Writer of responses. */
export type Writer = {
	/** Writes a response in a manner, and returns when nothing more follows. */
	write(socket: Socket, manner: Manner, response: {readonly head: string; readonly content: string}): Promise<void>;
};

/** Splits a text at random places. */
function split(text: string, random: Random): readonly string[] {
	const cuts = Array.from({length: Math.floor(random() * maximumPieces)}, () => Math.floor(random() * text.length)).toSorted((left, right) => left - right);
	return [...cuts, text.length].map((cut, index) => text.slice(index === 0 ? 0 : cuts[index - 1], cut)).filter(piece => piece !== '');
}

/**
 * Creates a writer.
 * @param random - Source of random numbers.
 */
export function createWriter(random: Random): Writer {
	/** End of the writing in progress on each connection. */
	const writings = new WeakMap<Socket, Promise<void>>();

	async function writePieces(socket: Socket, pieces: readonly string[]): Promise<void> {
		for (const [index, piece] of pieces.entries()) {
			if (index > 0) {
				await delay(random() * longestPieceGapMilliseconds);
			}

			if (socket.writable) {
				socket.write(piece, 'latin1');
			}
		}
	}

	/** Writes pieces after those before; later ones wait until the last piece is written. */
	async function writeInOrder(socket: Socket, pieces: readonly string[]): Promise<void> {
		const last = writings.get(socket) ?? Promise.resolve();
		const writing = last.then(async () => writePieces(socket, pieces));
		writings.set(socket, writing);
		await writing;
	}

	return {
		async write(socket, manner, {head, content}) {
			const text = head + content;
			switch (manner) {
				case 'plain':
				case 'chunked':
				case 'slow':
				case 'shed':
				case 'fail': {
					await writeInOrder(socket, [text]);
					return;
				}

				case 'until-close':
				case 'last': {
					await writeInOrder(socket, [text]);
					socket.end();
					return;
				}

				case 'foreign-first':
				case 'foreign-last': {
					await writeInOrder(socket, manner === 'foreign-first' ? [foreignResponse, text] : [text, foreignResponse]);
					return;
				}

				case 'stutter':
				case 'shed-stutter':
				case 'fail-stutter': {
					await writeInOrder(socket, [text]);
					await delay(random() * longestCopyDelayMilliseconds);
					await writeInOrder(socket, split(text, random));
					return;
				}

				case 'cut-in': {
					await writeInOrder(socket, [text]);
					await delay(random() * longestCopyDelayMilliseconds);
					await writePieces(socket, split(text, random));
					return;
				}

				case 'break-off':
				case 'break-off-chunked':
				case 'break-off-until-close': {
					await writeInOrder(socket, [text.slice(0, head.length + Math.floor(random() * content.length))]);
					await delay(random() * longestBreakMilliseconds);
					abortConnection(socket);
					return;
				}

				case 'reset':
				case 'lose': {
					abortConnection(socket);
				}
			}
		},
	};
}
