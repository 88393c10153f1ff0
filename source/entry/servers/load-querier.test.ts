import {once} from 'node:events';
import {createServer} from 'node:http';
import {createServer as createRawServer, type Socket} from 'node:net';
import {describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {announcementSchema} from '../../announcement/index.js';
import {createCandidate} from '../../choice/index.js';
import {defaultDialect, type Dialect} from '../dialect.js';
import {createLoadQuerier, type CandidateReading, type QueryTransfer} from './load-querier.js';
import {createPool} from './pool.js';

const dialect: Dialect = {
	...defaultDialect,
	getReport: headers => ({
		coldMilliseconds: undefined, load: {
			running: 0, waiting: 0, slots: 4, slowness: 1,
		}, server: headers['x-server'] as string | undefined, isLeaving: false, pauseMilliseconds: undefined,
	}),
};

describe('createLoadQuerier: a server that was replaced at its address', () => {
	/** Queries the server "one" at an address where another server may respond, and checks how many readings count. */
	async function doTest(answering: string | undefined, expected: {readonly readings: number; readonly missed: number}): Promise<void> {
		const server = createServer((_request, response) => {
			response.writeHead(200, answering === undefined ? {} : {'x-server': answering});
			response.end();
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as {readonly port: number};
		let missed = 0;
		const pool = createPool('127.0.0.1', port, 100);
		const asker = createLoadQuerier({
			dialect, getAgent: () => pool.agent, getPath: () => '/', onReport() {
				// Server reports are ignored here.
			}, onMiss() {
				missed++;
			}, onResult() {
				// Results are not counted here.
			},
		});
		const candidate = createCandidate(1, announcementSchema.parse({
			service: 'stock', name: 'one', host: '127.0.0.1', port, zone: 'north', slots: 4, connections: 100, boot: 'b', state: 'warm',
		}), 'warm');
		const readings = await new Promise<readonly CandidateReading[]>(resolve => {
			asker.query({
				candidates: [candidate], waitMilliseconds: 1000, isSufficient: () => true, onReadings: resolve,
			});
		});
		pool.close();
		server.close();
		expect({readings: readings.length, missed}).toEqual(expected);
	}

	test('its own response counts, with or without its name', async () => {
		await doTest('one', {readings: 1, missed: 0});
		await doTest(undefined, {readings: 1, missed: 0});
	});
	test('the response of another server does not count', async () => {
		await doTest('two', {readings: 0, missed: 1});
	});
});

// Guards against a load of an earlier time that steers requests, from a reply that a server writes twice.
describe('createLoadQuerier: a reply that a server writes once more', () => {
	/** Queries a server several times that reports how many queries it has got, and gets the reported numbers. */
	async function getReadings(repeat: (socket: Socket, reply: string) => Promise<void>, reason = 'OK'): Promise<readonly number[]> {
		let count = 0;
		const sockets = new Set<Socket>();
		let repeated = Promise.resolve();
		const server = createRawServer(socket => {
			sockets.add(socket);
			socket.on('data', () => {
				count++;
				const reply = `HTTP/1.1 200 ${reason}\r\nx-count: ${count}\r\ncontent-length: 0\r\n\r\n`;
				socket.write(reply);
				repeated = repeat(socket, reply);
			});
			socket.on('error', () => {
				socket.destroy();
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as {readonly port: number};
		const pool = createPool('127.0.0.1', port, 100);
		const querier = createLoadQuerier({
			getAgent: () => pool.agent, dialect: {
				...defaultDialect, getReport: (headers, status) => ({
					...dialect.getReport(headers, status), load: {
						running: Number(headers['x-count']), waiting: 0, slots: 4, slowness: 1,
					},
				}),
			}, getPath: () => '/', onReport() {
				// Server reports are ignored here.
			}, onMiss() {
				// Misses are seen by the readings.
			}, onResult() {
				// Results are not counted here.
			},
		});
		const candidate = createCandidate(1, announcementSchema.parse({
			service: 'stock', name: 'one', host: '127.0.0.1', port, zone: 'north', slots: 4, connections: 100, boot: 'b', state: 'warm',
		}), 'warm');
		const numbers: number[] = [];
		for (let index = 0; index < 4; index++) {
			const readings = await new Promise<readonly CandidateReading[]>(resolve => {
				querier.query({
					candidates: [candidate], waitMilliseconds: 1000, isSufficient: () => true, onReadings: resolve,
				});
			});
			numbers.push(...readings.map(({reading}) => reading.running));
			await repeated;
			await delay(20);
		}

		pool.close();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}

		return numbers;
	}

	test('at once does not count as the reply to the next query', async () => {
		expect(await getReadings(async (socket, reply) => {
			socket.write(reply);
			await once(socket, 'close');
		})).toEqual([1, 2, 3, 4]);
	});
	test('later, while the connection is idle, does not count as the reply to the next query', async () => {
		expect(await getReadings(async (socket, reply) => {
			await delay(5);
			socket.write(reply);
			await once(socket, 'close');
		})).toEqual([1, 2, 3, 4]);
	});
	test('into the head of the next one does not count', async () => {
		expect(await getReadings(async () => undefined, 'OHTTP/1.1 200 OK')).toEqual([]);
	});
});

// Guards against a late response to an earlier request of the connection that is taken for the reply to a query.
describe('createLoadQuerier: a response that repeats the id of a request', () => {
	test('does not count, and ends the connection on which the reply would follow', async () => {
		const server = createRawServer(socket => {
			socket.on('data', () => {
				socket.write(`HTTP/1.1 200 OK\r\n${defaultDialect.requestIdHeader}: r-1\r\ncontent-length: 0\r\n\r\n`);
			});
			socket.on('error', () => {
				socket.destroy();
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as {readonly port: number};
		const pool = createPool('127.0.0.1', port, 100);
		const querier = createLoadQuerier({
			dialect, getAgent: () => pool.agent, getPath: () => '/', onReport() {
				// Server reports are ignored here.
			}, onMiss() {
				// Misses are seen by the readings.
			}, onResult() {
				// Results are not counted here.
			},
		});
		const closed = new Promise(resolve => {
			server.once('connection', (socket: Socket) => {
				socket.once('close', resolve);
			});
		});
		const readings = await new Promise(resolve => {
			querier.query({
				candidates: [createCandidate(1, announcementSchema.parse({
					service: 'stock', name: 'one', host: '127.0.0.1', port, zone: 'north', slots: 4, connections: 100, boot: 'b', state: 'warm',
				}), 'warm')], waitMilliseconds: 1000, isSufficient: () => true, onReadings: resolve,
			});
		});
		await closed;
		pool.close();
		server.close();
		expect(readings).toEqual([]);
	});
});

// Guards against a load that steers requests although the head that states it is malformed.
describe('createLoadQuerier: a reply with a malformed status', () => {
	/** Queries a server that replies with a status, and gets the number of readings, of reports and of servers without a reply. */
	async function doTest(status: string): Promise<readonly [number, number, number]> {
		const sockets = new Set<Socket>();
		const server = createRawServer(socket => {
			sockets.add(socket);
			socket.on('error', () => {
				socket.destroy();
			});
			socket.once('data', () => {
				socket.write(`HTTP/1.1 ${status} OK\r\ncontent-length: 0\r\n\r\n`);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as {readonly port: number};
		let reported = 0;
		let missed = 0;
		const pool = createPool('127.0.0.1', port, 100);
		const querier = createLoadQuerier({
			dialect, getAgent: () => pool.agent, getPath: () => '/', onReport() {
				reported++;
			}, onMiss() {
				missed++;
			}, onResult() {
				// Results are not counted here.
			},
		});
		const candidate = createCandidate(1, announcementSchema.parse({
			service: 'stock', name: 'one', host: '127.0.0.1', port, zone: 'north', slots: 4, connections: 100, boot: 'b', state: 'warm',
		}), 'warm');
		const readings = await new Promise<readonly CandidateReading[]>(resolve => {
			querier.query({
				candidates: [candidate], waitMilliseconds: 1000, isSufficient: () => true, onReadings: resolve,
			});
		});
		pool.close();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}

		return [readings.length, reported, missed];
	}

	for (const status of ['000', '099', '101', '104', '600', '999', '1000', '20', '+200', '-200', '2oo', 'abc', '']) {
		test(`"${status}" does not count`, async () => {
			expect(await doTest(status)).toEqual([0, 0, 1]);
		});
	}

	test('200 counts', async () => {
		expect(await doTest('200')).toEqual([1, 1, 0]);
	});
});

// Guards against load queries, which are sent before each request, that carry what servers do not need, or that connect anew each time.
describe('createLoadQuerier: bytes of queries', () => {
	test('are those of the path, the address and the name of the server, on one connection', async () => {
		const heads: string[] = [];
		const reply = 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n';
		const server = createRawServer(socket => {
			socket.on('data', chunk => {
				heads.push(chunk.toString('latin1'));
				socket.write(reply);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as {readonly port: number};
		const transfers: QueryTransfer[] = [];
		const pool = createPool('127.0.0.1', port, 100);
		const querier = createLoadQuerier({
			dialect: {...dialect, serverHeader: 'x-server'}, getAgent: () => pool.agent, getPath: () => '/load', onReport() {
				// Server reports are ignored here.
			}, onMiss() {
				// The count of heads shows a miss.
			}, onResult() {
				// Results are not counted here.
			}, onTransfer(transfer) {
				transfers.push(transfer);
			},
		});
		const candidate = createCandidate(1, announcementSchema.parse({
			service: 'stock', name: 'one', host: '127.0.0.1', port, zone: 'north', slots: 4, connections: 100, boot: 'b', state: 'warm',
		}), 'warm');
		for (let index = 0; index < 3; index++) {
			await new Promise<readonly CandidateReading[]>(resolve => {
				querier.query({
					candidates: [candidate], waitMilliseconds: 1000, isSufficient: () => true, onReadings: resolve,
				});
			});
			await delay(5);
		}

		pool.close();
		server.close();
		const head = `GET /load HTTP/1.1\r\nx-server: one\r\nHost: 127.0.0.1:${port}\r\n\r\n`;
		const transfer: QueryTransfer = {zone: 'north', sentBytes: head.length, receivedBytes: reply.length};
		expect({heads, transfers}).toEqual({heads: [head, head, head], transfers: [transfer, transfer, transfer]});
	});
});
