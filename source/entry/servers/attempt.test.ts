import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {createAttemptOptions} from '../../../stand-in/attempt-options.js';
import {createByteBudget, type ByteBudget} from '../../bytes/index.js';
import {startAttempt} from './attempt.js';
import {type AttemptOutcome} from './attempt-outcome.js';
import {createPool} from './pool.js';

const deadlineMilliseconds = 2000;
const quietMilliseconds = 50;

/** Sends one request to a server that responds with the given function, and gets the outcome. */
async function attempt(answer: (socket: Socket) => void, bufferedResponses: ByteBudget = createByteBudget(1_000_000)): Promise<AttemptOutcome> {
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
		startAttempt(createAttemptOptions({
			pool, bufferedResponses, deadlineAt: performance.now() + deadlineMilliseconds, onEnd: resolve,
		}));
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

describe('startAttempt: a server that withdraws while the attempt waits for a connection', () => {
	test('gets no request', async () => {
		const received: string[] = [];
		const server = createServer(socket => {
			socket.on('data', chunk => {
				received.push(chunk.toString('latin1'));
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as {readonly port: number};
		const pool = createPool('127.0.0.1', port, 4);
		const outcome = await new Promise<AttemptOutcome>(resolve => {
			startAttempt(createAttemptOptions({pool, hasServerWithdrawn: () => true, onEnd: resolve}));
		});
		await delay(quietMilliseconds);
		pool.close();
		server.close();
		expect(outcome).toEqual({kind: 'failed', verdict: {kind: 'notRun', reason: 'server-withdrawn'}, hasCrashed: false});
		expect(received).toEqual([]);
	});
});

describe('startAttempt: the budget of all buffered responses', () => {
	const head = 'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n';

	test('covers a whole response until its receiver releases it', async () => {
		const budget = createByteBudget(1_000_000);
		const outcome = await attempt(socket => {
			socket.write(`${head}0123456789`);
		}, budget);
		expect(budget.getReservedBytes() >= 10).toEqual(true);
		expect(outcome.kind).toEqual('whole');
		if (outcome.kind === 'whole') {
			outcome.reservation.release();
		}

		expect(budget.getReservedBytes()).toEqual(0);
	});

	test('does not cover another response, which is streamed', async () => {
		const budget = createByteBudget(5);
		const outcome = await attempt(socket => {
			socket.write(`${head}0123456789`);
		}, budget);
		expect(outcome.kind).toEqual('large');
		if (outcome.kind === 'large') {
			outcome.rest.destroy();
		}
	});

	test('gets back what a truncated response reserved', async () => {
		const budget = createByteBudget(1_000_000);
		const outcome = await attempt(socket => {
			socket.end(`${head}01234`);
		}, budget);
		expect([outcome.kind, budget.getReservedBytes()]).toEqual(['failed', 0]);
	});
});
