import {once} from 'node:events';
import {Agent, get} from 'node:http';
import {connect} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {startLocalProcesses} from './local-processes.js';
import {startLocalSystem} from './local-system.js';

const requestCount = 40;

/** Gets the status of a response, or 0 when the connection failed or the response was truncated. */
async function request(url: string, agent: Agent): Promise<number> {
	return new Promise(resolve => {
		get(url, {agent}, response => {
			response.resume();
			response.once('close', () => {
				resolve(response.complete ? response.statusCode ?? 0 : 0);
			});
		}).once('error', () => {
			resolve(0);
		});
	});
}

describe('the graceful stop of an entry', () => {
	async function doTest(hasIdleConnection: boolean): Promise<void> {
		const system = await startLocalSystem(0);
		const agent = new Agent({keepAlive: true});
		const socket = connect(system.callersPort, '127.0.0.1');
		await once(socket, 'connect');
		if (!hasIdleConnection) {
			socket.destroy();
		}

		const url = `http://127.0.0.1:${system.callersPort}/catalogue`;
		await request(url, agent);
		let completed = 0;
		const pendingStatuses = Array.from({length: requestCount}, async () => {
			const status = await request(url, agent);
			completed++;
			return status;
		});
		while (system.getInFlight() + completed < requestCount) {
			await setImmediate();
		}

		await system.stop();
		expect(await Promise.all(pendingStatuses)).toEqual(Array.from({length: requestCount}, () => 200));
		agent.destroy();
	}

	// Guards against requests that are accepted until the process is killed, and are then cut off.
	test('accepts connections for half of the time until the process is killed', {timeout: 20_000}, async () => {
		const {entry, stopControl} = await startLocalProcesses({port: 0, entrySettings: {graceMilliseconds: 10_000, stopSeconds: 1}});
		const startedAt = Date.now();
		await entry.stop();
		const stopMilliseconds = Date.now() - startedAt;
		await stopControl();
		expect([stopMilliseconds >= 499, stopMilliseconds < 1000]).toEqual([true, true]);
	});
	test('finishes every request in flight', {timeout: 20_000}, async () => doTest(false));
	test('does not wait for a connection without a request', {timeout: 20_000}, async () => doTest(true));
});
