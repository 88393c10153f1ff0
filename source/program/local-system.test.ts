import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {connect} from 'node:net';
import {
	after, before, describe, test, type TestContext,
} from 'node:test';
import {expect} from 'earl';
import {startLocalSystem, type LocalSystem} from './local-system.js';

let system: LocalSystem | undefined;

before(async () => {
	system = await startLocalSystem(0);
});
after(async () => {
	await system?.stop();
});

/** Sends raw text and returns what is received until the connection is idle or closed. */
async function sendRaw(parts: readonly string[], idleMilliseconds = 300): Promise<string> {
	return new Promise(resolve => {
		const socket = connect(system!.callersPort, '127.0.0.1');
		let text = '';
		let timer = setTimeout(end, 3000);
		function end(): void {
			clearTimeout(timer);
			socket.destroy();
			resolve(text);
		}

		socket.on('data', chunk => {
			text += chunk.toString('latin1');
			clearTimeout(timer);
			timer = setTimeout(end, idleMilliseconds);
		});
		socket.on('error', end);
		socket.on('close', end);
		void (async () => {
			for (const part of parts) {
				socket.write(part);
				await new Promise(resolveWait => {
					setTimeout(resolveWait, 30);
				});
			}
		})();
	});
}

/** Replaces values that differ between runs. */
function normalize(text: string): string {
	return text
		.replaceAll(/Date: .*\r\n/gv, '')
		.replaceAll(/guavadeck-request-id: .*\r\n/gv, 'guavadeck-request-id: ID\r\n')
		.replaceAll(/"requestId":"[^"]*"/gv, '"requestId":"ID"')
		.replaceAll(/content-length: \d+/gv, 'content-length: N')
		.replaceAll('\r\n', '\n');
}

describe('an entry, observed by callers', () => {
	async function doTest(parts: readonly string[], context: TestContext): Promise<void> {
		expect(normalize(await sendRaw(parts))).toMatchSnapshot(context);
	}

	test('responds to HEAD without a body', async t => doTest(['HEAD /catalogue HTTP/1.1\r\nhost: x\r\n\r\n'], t));
	test('responds with 404 for an unknown service', async t => doTest(['GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n'], t));
	test('rejects a malformed deadline', async t => doTest(['GET /catalogue HTTP/1.1\r\nhost: x\r\nguavadeck-deadline: soon\r\n\r\n'], t));
	test('rejects an empty idempotency key', async t => doTest(['POST /orders HTTP/1.1\r\nhost: x\r\nidempotency-key: \r\ncontent-length: 0\r\n\r\n'], t));
	test('rejects two Content-Length headers', async t => doTest(['POST /orders HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab'], t));
	test('rejects Content-Length together with chunked encoding', async t => doTest(['POST /orders HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n'], t));
	test('rejects a bare line feed in a header', async t => doTest(['GET /catalogue HTTP/1.1\nhost: x\nfolded: a\n b\n\n'], t));
	test('rejects a bare carriage return in a header', async t => doTest(['GET /catalogue HTTP/1.1\r\nhost: x\r\na: b\rc: d\r\n\r\n'], t));
	test('rejects an upgrade', async t => doTest(['GET /catalogue HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n'], t));
	test('rejects headers over the limit', async t => doTest([`GET /catalogue HTTP/1.1\r\nhost: x\r\nlarge: ${'x'.repeat(20_000)}\r\n\r\n`], t));
	test('rejects a body over the limit before it is sent', async t => doTest(['POST /orders HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n'], t));
	test('requests an expected body and accepts it in chunks', async t => doTest([
		'POST /orders HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ntransfer-encoding: chunked\r\nidempotency-key: chunks\r\n\r\n', '3\r\nabc\r\n', '0\r\n\r\n',
	], t));
});

describe('an entry with large bodies', () => {
	async function doTest(path: string, init: RequestInit): Promise<void> {
		const response = await fetch(`http://127.0.0.1:${system!.callersPort}${path}`, init);
		const body = Buffer.from(await response.arrayBuffer());
		expect(response.status).toEqual(200);
		expect(response.headers.get('x-body-digest') ?? '').toEqual(createHash('sha256').update(body).digest('hex'));
	}

	test('streams a response that is too large to buffer', async () => doTest('/catalogue?bytes=3000000', {}));
	test('buffers a response at the limit', async () => doTest('/catalogue?bytes=262144', {}));
	test('streams a request body that is too large to buffer', async () => doTest('/catalogue', {method: 'POST', body: Buffer.alloc(900_000, 'x')}));
});

describe('the ledger, observed by callers', () => {
	async function doTest(bodies: readonly string[], expected: ReadonlyArray<readonly [status: number, replayed: string]>, key: string): Promise<void> {
		const outcomes: Array<readonly [number, string]> = [];
		for (const body of bodies) {
			const response = await fetch(`http://127.0.0.1:${system!.callersPort}/orders`, {method: 'POST', body, headers: {'idempotency-key': key}});
			await response.arrayBuffer();
			outcomes.push([response.status, response.headers.get('guavadeck-replayed') ?? '']);
		}

		expect(outcomes).toEqual([...expected]);
	}

	test('replays the response to the same order', async () => doTest(['a', 'a'], [[200, ''], [200, 'true']], 'k1'));
	test('rejects another order under the same key', async () => doTest(['a', 'b'], [[200, ''], [422, '']], 'k2'));
	test('runs one of several concurrent requests with the same key', async () => {
		const responses = await Promise.all(Array.from({length: 8}, async () => fetch(`http://127.0.0.1:${system!.callersPort}/orders`, {method: 'POST', body: 'x', headers: {'idempotency-key': 'k3'}})));
		await Promise.all(responses.map(async response => response.arrayBuffer()));
		const executed = responses.filter(response => response.status === 200 && response.headers.get('guavadeck-replayed') === null);
		expect(executed.length).toEqual(1);
		expect(responses.every(response => response.status === 200 || response.status === 409)).toEqual(true);
	});
});
