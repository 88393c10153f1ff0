import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {startPollClock} from './poll-clock.js';

const blockMilliseconds = 300;

function block(): void {
	const until = Date.now() + blockMilliseconds;
	while (Date.now() < until) {
		// Keeps the event loop from its turns.
	}
}

describe('startPollClock', () => {
	/** Sends a byte to this process, blocks it, and gets the times of sending, of the earliest arrival, and of handling. */
	async function doTest(isBlocked: boolean): Promise<{readonly sentAt: number; readonly earliestAt: number; readonly handledAt: number}> {
		const clock = startPollClock();
		const server = createServer();
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as {readonly port: number};
		const client = connect(port, '127.0.0.1');
		const [socket] = await once(server, 'connection') as [Socket];
		await delay(50);
		const sentAt = Date.now();
		client.write('x');
		if (isBlocked) {
			block();
		}

		await once(socket, 'data');
		const handledAt = Date.now();
		const earliestAt = clock.getEarliestArrival(handledAt);
		clock.stop();
		client.destroy();
		server.close();
		return {sentAt, earliestAt, handledAt};
	}

	// Guards against checks that count what arrived while a process was late as if it had arrived when it was handled.
	test('includes the time for which a process was late', async () => {
		const {sentAt, earliestAt, handledAt} = await doTest(true);
		expect([handledAt - sentAt >= blockMilliseconds, earliestAt <= sentAt + 1]).toEqual([true, true]);
	});
	test('allows an event no more than the process was late', async () => {
		const {sentAt, earliestAt, handledAt} = await doTest(false);
		expect(earliestAt >= sentAt - 50 && earliestAt <= handledAt).toEqual(true);
	});
});
