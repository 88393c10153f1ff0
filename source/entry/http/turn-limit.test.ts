import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {get, type IncomingMessage} from 'node:http';
import {createServer} from 'node:net';
import {describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {limitTurns, maximumTurnBytes} from './turn-limit.js';

const bodyBytes = 8_000_000;

/** Bytes of the read that passes the limit, and of two that Node may hold in the buffers of the connection and the response. */
const marginBytes = 3 * 65_536;

/** Number of bodies of which at least one must show that Node reads more. */
const maximumUnlimitedReads = 10;

/** Time in which the buffers of the connection fill while nothing is read. */
const fillMilliseconds = 500;

describe('limitTurns', () => {
	/** Reads a large body, and gets its size and the most that was read in one turn of the event loop. */
	async function read(limit: (response: IncomingMessage) => unknown): Promise<{readonly size: number; readonly maximumBytes: number}> {
		const server = createServer(socket => {
			socket.once('data', () => {
				socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${bodyBytes}\r\n\r\n`);
				socket.write(Buffer.alloc(bodyBytes));
			});
			socket.on('error', () => {
				socket.destroy();
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as {readonly port: number};
		const request = get({host: '127.0.0.1', port, agent: false});
		const [response] = await once(request, 'response') as [IncomingMessage];
		// Until then, more arrives than is read in a turn.
		await delay(fillMilliseconds);
		let size = 0;
		let turnBytes = 0;
		let maximumBytes = 0;
		response.on('data', (chunk: Buffer) => {
			size += chunk.length;
			if (turnBytes === 0) {
				setImmediate(() => {
					turnBytes = 0;
				});
			}

			turnBytes += chunk.length;
			maximumBytes = Math.max(maximumBytes, turnBytes);
		});
		limit(response);
		await once(response, 'end');
		request.destroy();
		server.close();
		return {size, maximumBytes};
	}

	// Guards against one flood that keeps the event loop from all other connections.
	test('reads a whole body in small turns', async () => {
		const {size, maximumBytes} = await read(limitTurns);
		expect(size).toEqual(bodyBytes);
		expect(maximumBytes <= maximumTurnBytes + marginBytes).toEqual(true);
	});

	test('is needed, since Node reads more in a turn', async () => {
		let maximumBytes = 0;
		// How much has arrived by a turn depends on the kernel, and on what else the machine does.
		for (let count = 0; count < maximumUnlimitedReads && maximumBytes <= maximumTurnBytes + marginBytes; count++) {
			({maximumBytes} = await read(() => undefined));
		}

		expect(maximumBytes > maximumTurnBytes + marginBytes).toEqual(true);
	});
});
