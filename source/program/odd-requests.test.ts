import {
	after, before, describe, test,
} from 'node:test';
import {expect} from 'earl';
import {connectRaw} from '../../stand-in/entry-bed.js';
import {startLocalSystem, type LocalSystem} from './local-system.js';

/** Time in which an ordinary request is answered, also right after an odd one. */
const plainLimitMilliseconds = 1000;

function getStatus(text: string): string {
	return text.slice('HTTP/1.1 '.length, 'HTTP/1.1 200'.length);
}

// Guards against a caller whose odd request keeps a slot of a server: a handful of them put a service out for twenty seconds.
describe('an entry of a fresh system', () => {
	let system: LocalSystem;

	before(async () => {
		system = await startLocalSystem(0);
	});
	after(async () => {
		await system.stop();
	});

	async function send(text: string): Promise<string> {
		const connection = connectRaw(system.callersPort, text);
		const received = await connection.waitFor(part => part.includes('\r\n\r\n'));
		connection.socket.destroy();
		return received;
	}

	/** Sends an odd request and then an ordinary one, and expects the status of the first and a quick answer to the second. */
	async function doTest(text: string, expectedStatus: string): Promise<void> {
		const received = await send(text);
		const startedAt = Date.now();
		const plain = await send('GET /catalogue/jerseys HTTP/1.1\r\nhost: shop\r\n\r\n');
		expect([getStatus(received), getStatus(plain)]).toEqual([expectedStatus, '200']);
		expect(Date.now() - startedAt < plainLimitMilliseconds).toEqual(true);
		expect(system.getInFlight()).toEqual(0);
	}

	const manyHeaders = Array.from({length: 1500}, (_, index) => `a${index}: 1\r\n`).join('');
	const cases: ReadonlyArray<readonly [name: string, text: string, status: string]> = [
		['a space before the colon', 'GET /catalogue/a HTTP/1.1\r\nhost: shop\r\nX-A : a\r\n\r\n', '400'],
		['a space in a header name', 'GET /catalogue/a HTTP/1.1\r\nhost: shop\r\nX A: a\r\n\r\n', '400'],
		['an empty header name', 'GET /catalogue/a HTTP/1.1\r\nhost: shop\r\n: a\r\n\r\n', '400'],
		['a tab in the path', 'GET /catalogue/a\tb HTTP/1.1\r\nhost: shop\r\n\r\n', '400'],
		['two hosts', 'GET /catalogue/a HTTP/1.1\r\nhost: shop\r\nhost: other\r\n\r\n', '400'],
		['an absolute target', 'GET http://other/catalogue/jerseys HTTP/1.1\r\nhost: shop\r\n\r\n', '200'],
		['an absolute target of another scheme', 'GET ftp://other/catalogue/jerseys HTTP/1.1\r\nhost: shop\r\n\r\n', '400'],
		['CONNECT', 'CONNECT a:1 HTTP/1.1\r\nhost: a:1\r\n\r\n', '405'],
		['a Connection header that names the length', 'POST /orders HTTP/1.1\r\nhost: shop\r\nidempotency-key: k1\r\nconnection: content-length, host\r\ncontent-length: 4\r\n\r\nbody', '200'],
		['1,500 headers', `GET /catalogue/a HTTP/1.1\r\nhost: shop\r\n${manyHeaders}\r\n`, '200'],
		['headers above the limit', `GET /catalogue/a HTTP/1.1\r\nhost: shop\r\nx-a: ${'a'.repeat(16_000)}\r\n\r\n`, '431'],
	];
	for (const [name, text, status] of cases) {
		test(`answers a request with ${name}`, async () => doTest(text, status));
	}

	test('ends just a call with an odd path, also at a control host', async () => {
		for (const port of [system.apiPort, system.adminPort]) {
			const connection = connectRaw(port, 'GET // HTTP/1.1\r\nhost: shop\r\n\r\n');
			const received = await connection.waitFor(part => part.includes('\r\n\r\n'));
			connection.socket.destroy();
			expect(['404', '500'].includes(getStatus(received))).toEqual(true);
		}

		expect(getStatus(await send('GET /catalogue/jerseys HTTP/1.1\r\nhost: shop\r\n\r\n'))).toEqual('200');
	});
	test('serves on after all of them in turn', async () => {
		for (let round = 0; round < 3; round++) {
			for (const [, text, status] of cases) {
				await doTest(text, status);
			}
		}
	});
});
