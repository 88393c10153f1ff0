import {once} from 'node:events';
import {createServer, get, type IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {discardBody} from './discard.js';

/** Chunks of one byte that are sent; more than a million bytes on the wire, but few in the body. */
const sentChunks = 200_000;

/** Number of chunks after which a body that nobody needs is given up. */
const maximumChunks = 10_000;

describe('discardBody', () => {
	// Guards against a body in tiny chunks that occupies the event loop for seconds while it is discarded.
	test('ends the connection of a body in very many chunks', async () => {
		let chunks = 0;
		const server = createServer(request => {
			request.on('data', () => {
				chunks++;
			});
			discardBody(request);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as {readonly port: number};
		const socket = connect(port, '127.0.0.1');
		const closed = new Promise(resolve => {
			socket.once('close', resolve);
		});
		socket.on('error', () => {
			// The server resets the connection.
		});
		socket.write(`POST / HTTP/1.1\r\nhost: any\r\ntransfer-encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(sentChunks)}`);
		await closed;
		server.close();
		expect(chunks < maximumChunks).toEqual(true);
	});

	test('keeps the connection of an ordinary body', async () => {
		const server = createServer((_request, response) => {
			response.end('x'.repeat(100_000));
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as {readonly port: number};
		const request = get({port, host: '127.0.0.1', agent: false});
		const [response] = await once(request, 'response') as [IncomingMessage];
		discardBody(response);
		await once(response, 'end');
		expect(response.complete).toEqual(true);
		server.close();
	});
});
