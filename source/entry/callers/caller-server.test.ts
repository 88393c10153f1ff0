import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {type ClientLimits} from '../../configuration/index.js';
import {createCallerServer} from './caller-server.js';

/** Time after which a connection that is still open counts as kept; Node checks idle connections at most a second late. */
const keptMilliseconds = 2500;
const longHeaderBytes = 4000;
const limits: ClientLimits = {
	headerBytes: 300, bodyBytes: 100, headerMilliseconds: 1000, idleMilliseconds: 100,
};

type Connection = {readonly status: string | undefined; readonly isKept: boolean};

// Guards against limits of an earlier document that stay in force, and against a limit of 0 that is taken for none.
describe('createCallerServer: limits', () => {
	/** Sends a request under the last of the limits that are applied in turn, and leaves its connection idle. */
	async function connect(applied: ReadonlyArray<ClientLimits | undefined>): Promise<Connection> {
		const {server, applyLimits} = createCallerServer({
			maximumHeaderBytes: 16_384,
			isDraining: () => false,
			isIdempotent: () => true,
			handle({response}) {
				response.end();
			},
		});
		for (const each of applied) {
			applyLimits(each);
		}

		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const socket = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
		const closed = once(socket, 'close').then(() => false);
		const padding = 'a'.repeat(longHeaderBytes);
		socket.write(`GET / HTTP/1.1\r\nHost: shop.example\r\nPadding: ${padding}\r\n\r\n`);
		const [head] = await once(socket, 'data') as [Uint8Array];
		const isKept = await Promise.race([closed, delay(keptMilliseconds, true)]);
		socket.destroy();
		server.close();
		return {status: new TextDecoder().decode(head).split(' ')[1], isKept};
	}

	async function doTest(applied: ReadonlyArray<ClientLimits | undefined>, expected: Connection): Promise<void> {
		expect(await connect(applied)).toEqual(expected);
	}

	test('are those of the document', async () => doTest([limits], {status: '431', isKept: false}));
	test('end when a document has none', async () => doTest([limits, undefined], {status: '200', isKept: true}));
	test('close an idle connection at once where they allow no idle time', async () => doTest([{...limits, headerBytes: 16_384, idleMilliseconds: 0}], {status: '200', isKept: false}));
});
