import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {startAttempt, type AttemptOutcome} from './attempt.js';
import {defaultDialect} from './dialect.js';
import {createPool} from './pool.js';

const deadlineMilliseconds = 2000;

/** Sends one request to a server that responds with the given function, and gets the outcome. */
async function attempt(answer: (socket: Socket) => void): Promise<AttemptOutcome> {
	const server = createServer(socket => {
		socket.on('error', () => {
			socket.destroy();
		});
		socket.once('data', () => {
			answer(socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as {readonly port: number};
	const pool = createPool('127.0.0.1', port, 4);
	const outcome = await new Promise<AttemptOutcome>(resolve => {
		startAttempt({
			pool,
			dialect: defaultDialect,
			requestId: 'one',
			method: 'GET',
			target: '/',
			headers: ['host', 'any'],
			body: undefined,
			stream: undefined,
			deadlineAt: performance.now() + deadlineMilliseconds,
			maximumBufferedBytes: 1000,
			maximumBodyBytes: 1000,
			mayDispatch: () => true,
			onReport() {
				// Server reports are ignored here.
			},
			onError(error) {
				throw error;
			},
			onEnd: resolve,
		});
	});
	pool.close();
	server.close();
	return outcome;
}

describe('startAttempt: close-delimited responses', () => {
	async function doTest(end: (socket: Socket) => void, expected: string, laterMilliseconds = 30): Promise<void> {
		const outcome = await attempt(socket => {
			socket.write('HTTP/1.1 200 OK\r\n\r\nhalf of the', () => {
				if (laterMilliseconds > 0) {
					setTimeout(end, laterMilliseconds, socket);
				} else {
					end(socket);
				}
			});
		});
		expect(outcome.kind === 'failed' ? outcome.verdict.kind : `${outcome.kind}${outcome.kind === 'whole' && outcome.head.isCloseDelimited ? ', without a length' : ''}`).toEqual(expected);
	}

	test('are complete when the server closes the connection', async () => {
		await doTest(socket => {
			socket.end(' body');
		}, 'whole, without a length');
	});
	test('are truncated when the connection is reset', async () => {
		await doTest(socket => {
			socket.resetAndDestroy();
		}, 'mayHaveRun');
	});
	test('are complete when the server closes the connection together with the last bytes', async () => {
		await doTest(socket => {
			socket.end();
		}, 'whole, without a length', 0);
	});
	test('are truncated when the connection is reset together with the last bytes', async () => {
		await doTest(socket => {
			socket.resetAndDestroy();
		}, 'mayHaveRun', 0);
	});
});
