import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {after, describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {createProber} from './prober.js';
import {type Fleet} from './fleet.js';

const limitMilliseconds = 4000;
const pollMilliseconds = 20;

describe('createProber', () => {
	const sockets: Socket[] = [];
	const servers: Array<ReturnType<typeof createServer>> = [];

	after(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		for (const server of servers) {
			server.close();
		}
	});

	/** Sends a probe to a server that answers with a head and then a filler until the connection closes, and gets the result. */
	async function doTest(head: string, filler: string): Promise<readonly boolean[]> {
		const results: boolean[] = [];
		const server = createServer(socket => {
			sockets.push(socket);
			socket.on('error', () => {
				socket.destroy();
			});
			socket.once('data', () => {
				socket.write(head);
				const timer = setInterval(() => {
					socket.write(filler);
				}, pollMilliseconds);
				socket.once('close', () => {
					clearInterval(timer);
				});
			});
		});
		servers.push(server);
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as {readonly port: number};
		const announcement = {host: '127.0.0.1', port, probePath: '/health'};
		const prober = createProber({
			fleet: {get: () => ({candidate: {getAnnouncement: () => announcement}})} as unknown as Fleet,
			mayProbe: () => true,
			onResult(isHealthy) {
				results.push(isHealthy);
			},
		});
		sockets.length = 0;
		prober.schedule.assign([1], 1_000_000, performance.now() - 1_000_000);
		prober.tick();
		const until = performance.now() + limitMilliseconds;
		while (sockets[0]?.destroyed !== true && performance.now() < until) {
			await delay(pollMilliseconds);
		}

		expect([sockets.length, sockets[0]?.destroyed]).toEqual([1, true]);
		return results;
	}

	// Guards against connections of probes that a faulty server keeps busy for ever, one more with each probe.
	test('closes the connection of a body without end', async () => {
		expect(await doTest('HTTP/1.1 200 OK\r\n\r\n', 'x')).toEqual([true]);
	});
	// Guards against a server that counts as healthy although none of its responses can be passed on.
	test('takes a status of no final response for no health', async () => {
		for (const status of ['000', '099', '101', '600', '1000', '+200', 'abc']) {
			expect(await doTest(`HTTP/1.1 ${status} OK\r\n\r\n`, 'x')).toEqual([false]);
		}
	});
	test('closes the connection of informational responses without end, which are no health', async () => {
		expect(await doTest('', 'HTTP/1.1 102 Processing\r\n\r\n')).toEqual([false]);
	});
});
