import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createAttemptOptions} from '../../../stand-in/attempt-options.js';
import {createRecordedLog, type RecordedLine} from '../../../stand-in/recorded-log.js';
import {defaultDialect} from '../dialect.js';
import {startAttempt} from './attempt.js';
import {createDiscardedAnswers, type DiscardedAnswer, type DiscardReason} from './discarded-answers.js';
import {createPool, type Pool} from './pool.js';

const deadlineMilliseconds = 2000;

describe('createDiscardedAnswers', () => {
	/** Records answers at the given time of a connection that has given two answers, and gets the lines and the counted reasons. */
	function record(answers: ReadonlyArray<Omit<DiscardedAnswer, 'history'>>): {readonly lines: readonly RecordedLine[]; readonly reasons: readonly DiscardReason[]} {
		const log = createRecordedLog();
		const reasons: DiscardReason[] = [];
		const discardedAnswers = createDiscardedAnswers({
			log,
			countDiscardedAnswer(reason) {
				reasons.push(reason);
			},
			getTime: () => 0,
		});
		const server = {
			getAnnouncement: () => ({
				name: 's-1', service: 'stock', host: '10.0.0.1', port: 80, zone: 'north', boot: 'x', slots: 1, connections: 1, isLeaving: false, isCold: false,
			}),
		};
		for (const answer of answers) {
			discardedAnswers.record(server as never, {...answer, history: {recordAnswer: () => undefined, getAnswerCount: () => 2, getAge: () => 1234.5}});
		}

		return {lines: log.lines, reasons};
	}

	test('logs an answer with its reason, server and connection', context => {
		expect(record([{
			reason: 'answer-mismatched', requestId: 'r2', echoedId: 'r1', status: 200,
		}]).lines).toMatchSnapshot(context);
	});
	test('bounds the lines and counts all answers', () => {
		const {lines, reasons} = record(Array.from({length: 1000}, () => ({reason: 'answer-malformed', echoedId: 'x'.repeat(100_000)})));
		expect([lines.length, reasons.length, JSON.stringify(lines[0]).length < 1000]).toEqual([20, 1000, true]);
	});
});

describe('startAttempt: a discarded answer', () => {
	/** Starts a server that answers one request after the other with the given texts, and closes the connection after a part of a body. */
	async function listenForTexts(texts: readonly string[]): Promise<{readonly port: number; close(): void; getSockets(): readonly Socket[]}> {
		const remaining = [...texts];
		const sockets: Socket[] = [];
		const server = createServer(socket => {
			sockets.push(socket);
			socket.on('error', () => {
				socket.destroy();
			});
			socket.on('data', () => {
				const text = remaining.shift()!;
				socket.write(text);
				if (text.includes('content-length: 9')) {
					socket.destroySoon();
				}
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		return {
			port: (server.address() as AddressInfo).port,
			close() {
				server.close();
				for (const socket of sockets) {
					socket.destroy();
				}
			},
			getSockets: () => sockets,
		};
	}

	/** Attempts a request on a server, and gets the answers that were discarded meanwhile. */
	async function attempt(pool: Pool, requestId: string): Promise<readonly DiscardedAnswer[]> {
		const answers: DiscardedAnswer[] = [];
		await new Promise(resolve => {
			startAttempt(createAttemptOptions({
				pool,
				requestId,
				deadlineAt: performance.now() + deadlineMilliseconds,
				onDiscard(answer) {
					answers.push(answer);
				},
				onEnd: resolve,
			}));
		});
		return answers;
	}

	test('on an idle connection is reported with the number of answers before it', async () => {
		const {port, close, getSockets} = await listenForTexts([getAnswer('r1')]);
		let answerCount: number | undefined;
		const pool = createPool('127.0.0.1', port, 4, {
			onUnsolicitedData(history) {
				answerCount = history.getAnswerCount();
			},
		});
		await attempt(pool, 'r1');
		const [socket] = getSockets();
		socket!.write(getAnswer('r1'));
		await once(socket!, 'close');
		expect(answerCount).toEqual(1);
		pool.close();
		close();
	});

	/** Sends one request for each of the given answers, and checks what was discarded. */
	async function doTest(texts: readonly string[], expected: ReadonlyArray<Omit<DiscardedAnswer, 'history'> & {readonly answerCount: number}>): Promise<void> {
		const {port, close} = await listenForTexts(texts);
		const pool = createPool('127.0.0.1', port, 4);
		const discarded: DiscardedAnswer[] = [];
		for (const [index] of texts.entries()) {
			discarded.push(...await attempt(pool, `r${index + 1}`));
		}

		pool.close();
		close();
		expect(discarded.map(({history, ...answer}) => ({...answer, answerCount: history!.getAnswerCount()}))).toEqual([...expected]);
		expect(discarded.every(({history}) => history!.getAge() > 0)).toEqual(true);
	}

	function getAnswer(id: string, length = 0): string {
		return `HTTP/1.1 200 OK\r\n${defaultDialect.requestIdHeader}: ${id}\r\ncontent-length: ${length}\r\n\r\n`;
	}

	test('of another request is reported with both ids and the number of answers before it', async () => {
		await doTest([getAnswer('r1'), getAnswer('r2'), getAnswer('r2')], [{
			reason: 'answer-mismatched', requestId: 'r3', echoedId: 'r2', status: 200, answerCount: 2,
		}]);
	});
	test('with a malformed head is reported', async () => {
		await doTest(['HTTP/1.1 600 Odd\r\ncontent-length: 0\r\n\r\n'], [{
			reason: 'answer-malformed', requestId: 'r1', echoedId: undefined, status: 600, answerCount: 0,
		}]);
	});
	test('that is not HTTP is reported', async () => {
		await doTest(['late bytes\r\n\r\n'], [{
			reason: 'answer-unparsable', requestId: 'r1', echoedId: undefined, status: undefined, answerCount: 0,
		}]);
	});
	test('that ends early is reported', async () => {
		await doTest([getAnswer('r1', 9)], [{
			reason: 'answer-truncated', requestId: 'r1', echoedId: 'r1', status: 200, answerCount: 0,
		}]);
	});
	test('is not reported if there is none', async () => {
		await doTest([getAnswer('r1'), getAnswer('r2')], []);
	});
});
