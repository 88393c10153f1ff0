import {once} from 'node:events';
import {createServer} from 'node:http';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema} from '../announcement/index.js';
import {createCandidate} from '../choice/index.js';
import {createLoadQuerier, type CandidateReading} from './load-querier.js';
import {defaultDialect, type Dialect} from './dialect.js';

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
		const asker = createLoadQuerier({
			dialect, getPath: () => '/', onReport() {
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
		asker.close();
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
