import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type Socket} from 'node:net';
import {describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {createCallBodyReader, type CallBodyReader} from './call-body.js';

const maximumBytes = 100_000;

describe('createCallBodyReader', () => {
	/** Sends calls with the given text, which announces 50,000 bytes, and gets what became of them so far. */
	async function doTest(reader: CallBodyReader, texts: readonly string[], pauseMilliseconds = 30): Promise<readonly string[]> {
		const results = texts.map(() => 'pending');
		const sockets: Socket[] = [];
		const server = createServer((request, response) => {
			const index = Number(request.url!.slice(1));
			void reader.read(request, maximumBytes).then(body => {
				results[index] = body.isOk ? String(body.value.length) : body.error;
				response.end();
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as {readonly port: number};
		for (const [index, text] of texts.entries()) {
			const socket = connect(port, '127.0.0.1');
			sockets.push(socket);
			socket.on('error', () => {
				socket.destroy();
			});
			socket.write(`POST /${index} HTTP/1.1\r\nhost: any\r\n${text}`);
			await delay(pauseMilliseconds);
		}

		await delay(300);
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
		return results;
	}

	const complete = `content-length: 50000\r\n\r\n${'x'.repeat(50_000)}`;
	const unfinished = `content-length: 50000\r\n\r\n${'x'.repeat(40_000)}`;

	test('reads bodies one after another', async () => {
		expect(await doTest(createCallBodyReader(80_000), [complete, complete])).toEqual(['50000', '50000']);
	});
	test('refuses a body beyond the budget of all', async () => {
		expect(await doTest(createCallBodyReader(80_000), [unfinished, complete])).toEqual(['pending', 'overload']);
	});
	test('refuses a body that is too large', async () => {
		expect(await doTest(createCallBodyReader(1_000_000), [`transfer-encoding: chunked\r\n\r\n20000\r\n${'x'.repeat(131_072)}\r\n`])).toEqual(['tooLarge']);
	});
	// Guards against slow senders that keep the budget from others.
	test('gives up a body that does not end in time', async () => {
		expect(await doTest(createCallBodyReader(80_000, 100), [unfinished, complete], 200)).toEqual(['cut', '50000']);
	});
});
