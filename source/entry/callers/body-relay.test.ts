import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, request as startRequest, type IncomingMessage, type Server,
} from 'node:http';
import {connect, createServer as createRawServer, type Socket} from 'node:net';
import {after, describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {relayBody} from './body-relay.js';

const loopback = '127.0.0.1';

/** Bytes of a body; far more than the buffers of a connection hold. */
const bodyBytes = 20_000_000;

async function listen(server: {listen(port: number, host: string): unknown; address(): unknown} & NodeJS.EventEmitter): Promise<number> {
	server.listen(0, loopback);
	await once(server, 'listening');
	return (server.address() as {readonly port: number}).port;
}

describe('relayBody', () => {
	const servers: Array<{close(): unknown}> = [];
	const sockets: Socket[] = [];
	const sources: IncomingMessage[] = [];

	after(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		for (const server of servers) {
			server.close();
		}
	});

	/** Starts a server that relays the body of a raw response. */
	async function startRelay(write: (socket: Socket) => void): Promise<number> {
		const origin = createRawServer(socket => {
			sockets.push(socket);
			socket.on('error', () => {
				socket.destroy();
			});
			socket.once('data', () => {
				write(socket);
			});
		});
		const originPort = await listen(origin);
		const relay: Server = createServer((_request, response) => {
			startRequest({host: loopback, port: originPort, agent: false}, source => {
				sources.push(source);
				const body = relayBody(source, response);
				source.once('close', () => {
					body.flush();
					response.end();
				});
			}).end();
		});
		servers.push(origin, relay);
		return listen(relay);
	}

	async function readBody(port: number): Promise<Buffer> {
		const request = startRequest({host: loopback, port, agent: false}).end();
		const [response] = await once(request, 'response') as [IncomingMessage];
		const chunks: Buffer[] = [];
		for await (const chunk of response as AsyncIterable<Buffer>) {
			chunks.push(chunk);
			// A slow reader.
			if (chunks.length % 50 === 0) {
				await delay(1);
			}
		}

		return Buffer.concat(chunks);
	}

	test('passes a large body on completely to a slow reader', async () => {
		const body = Buffer.alloc(bodyBytes, Buffer.from(Array.from({length: 251}, (_, index) => index)));
		const port = await startRelay(socket => {
			socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${bodyBytes}\r\n\r\n`);
			socket.write(body);
		});
		const received = await readBody(port);
		expect(received.equals(body)).toEqual(true);
	});

	// Guards against thousands of buffers of one byte that wait for a caller that does not read.
	test('holds few bytes of a body in tiny chunks for a caller that does not read', async () => {
		const block = '1\r\nx\r\n'.repeat(100_000);
		const port = await startRelay(socket => {
			socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n');
			function writeBlocks(): void {
				while (!socket.destroyed && socket.write(block)) {
					// Writes until the connection takes no more.
				}
			}

			socket.on('drain', writeBlocks);
			writeBlocks();
		});
		sources.length = 0;
		const caller = connect(port, loopback);
		sockets.push(caller);
		caller.pause();
		caller.write('GET / HTTP/1.1\r\nhost: any\r\n\r\n');
		let source: IncomingMessage | undefined;
		while (source?.socket.isPaused() !== true) {
			await delay(20);
			source = sources[0];
		}

		await delay(200);
		const readBytes = source.socket.bytesRead;
		await delay(200);
		expect([source.socket.isPaused(), source.socket.bytesRead, source.readableLength]).toEqual([true, readBytes, 0]);
	});
});
