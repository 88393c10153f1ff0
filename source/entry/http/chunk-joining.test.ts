import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import {describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {createRandom} from '../../randomness/index.js';
import {joinChunks} from './chunk-joining.js';

const seed = 303;
const bodyCount = 30;

/** Maximum number of buffers in which a message keeps what it has read. */
const maximumBuffers = 20;

describe('joinChunks', () => {
	/** Sends raw text as a request, and gets what the handler returns. */
	async function send<T>(text: string | Buffer, handle: (request: IncomingMessage) => Promise<T>): Promise<T> {
		return new Promise<T>((resolve, reject) => {
			const server = createServer(request => {
				joinChunks(request);
				handle(request).then(resolve, reject).finally(() => {
					server.close();
					server.closeAllConnections();
				});
			});
			server.listen(0, '127.0.0.1', () => {
				const {port} = server.address() as {readonly port: number};
				const socket = connect(port, '127.0.0.1');
				socket.on('error', () => {
					socket.destroy();
				});
				socket.write(text);
			});
		});
	}

	test('keeps every body unchanged', async () => {
		const random = createRandom(seed);
		for (let body = 0; body < bodyCount; body++) {
			const chunks = Array.from({length: Math.floor(random() * 300)}, () => Buffer.alloc(1 + Math.floor((random() ** 6) * 70_000), Math.floor(random() * 256)));
			const encoded = Buffer.concat([
				Buffer.from('POST / HTTP/1.1\r\nhost: any\r\ntransfer-encoding: chunked\r\n\r\n'),
				...chunks.flatMap(chunk => [Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from('\r\n')]),
				Buffer.from('0\r\n\r\n'),
			]);
			const received = await send(encoded, async request => {
				const parts: Buffer[] = [];
				for await (const part of request as AsyncIterable<Buffer>) {
					parts.push(part);
					if (random() < 0.1) {
						await delay(1);
					}
				}

				return {body: Buffer.concat(parts), isComplete: request.complete};
			});
			expect([received.isComplete, received.body.equals(Buffer.concat(chunks))]).toEqual([true, true]);
		}
	});

	// Guards against callers whose unread bodies of tiny chunks fill the memory of an entry.
	test('keeps an unread body in a few buffers', async () => {
		const count = await send(`POST / HTTP/1.1\r\nhost: any\r\ntransfer-encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(200_000)}`, async request => {
			await delay(300);
			const {buffer} = (request as unknown as {readonly _readableState: {readonly buffer: {readonly length: number}}})._readableState;
			return buffer.length;
		});
		expect(count > 0 && count <= maximumBuffers).toEqual(true);
	});

	test('reports a body that breaks off', async () => {
		const result = await send('POST / HTTP/1.1\r\nhost: any\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\nnot a size', async request => {
			request.resume();
			await once(request, 'close').catch(() => undefined);
			return request.complete;
		});
		expect(result).toEqual(false);
	});
});
