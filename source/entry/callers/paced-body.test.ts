import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {Writable} from 'node:stream';
import {describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {createByteBudget, createByteReservation} from '../../bytes/index.js';
import {createLink} from '../../link/index.js';
import {type BodyTarget} from './body-target.js';
import {paceBody} from './paced-body.js';

const partBytes = 65_536;
const hugeBytes = 100_000_000;
const settleMilliseconds = 20;

/** Response to a caller that takes bytes only while the test lets it. */
type Caller = {readonly response: ServerResponse; getReceivedBytes(): number; isEnded(): boolean; take(): void; leave(): void};

function createCaller(): Caller {
	let receivedBytes = 0;
	let continueWrite: (() => void) | undefined;
	let isTaking = false;
	const response = new Writable({
		write(part: Buffer, _encoding, callback) {
			receivedBytes += part.length;
			if (isTaking) {
				callback();
			} else {
				continueWrite = callback;
			}
		},
	});
	return {
		response: Object.assign(response, {socket: null}) as unknown as ServerResponse,
		getReceivedBytes: () => receivedBytes,
		isEnded: () => response.writableFinished,
		take() {
			isTaking = true;
			continueWrite?.();
		},
		leave() {
			response.destroy();
		},
	};
}

/** Starts a paced body on a link that is far faster than the test. */
function startBody(caller: Caller, budgetBytes: number): {readonly target: BodyTarget; getReservedBytes(): number; getAdmittedCount(): number} {
	let now = 0;
	const link = createLink({
		megabitsPerSecond: 100_000,
		getTime: () => now,
		schedule(run, milliseconds) {
			now += milliseconds;
			run();
		},
	});
	const budget = createByteBudget(budgetBytes);
	const reservation = createByteReservation(budget);
	const decision = link.arrive({
		route: 'file', targetMilliseconds: 1000, leftMilliseconds: 1000, onAdmitted() {
			// The request is admitted at once.
		},
	});
	if (decision.kind !== 'admitted') {
		throw new Error('the link refuses its first request');
	}

	caller.response.once('close', () => {
		decision.use.end();
		reservation.release();
	});
	const target = paceBody({
		response: caller.response, use: decision.use, reservation, size: undefined, isFramed: true, deadlineAt: performance.now() + 10_000,
	});
	return {target, getReservedBytes: budget.getReservedBytes, getAdmittedCount: link.getAdmittedCount};
}

/** Writes parts until the body takes no more, and gets the number of bytes that it took. */
function fill(target: BodyTarget): number {
	let writtenBytes = partBytes;
	while (target.write(Buffer.alloc(partBytes)) && writtenBytes < hugeBytes) {
		writtenBytes += partBytes;
	}

	return writtenBytes;
}

// Guards against memory that grows with the bodies of slow callers, and against servers that wait for callers that are not slow.
describe('paceBody', () => {
	/** Lets a server send without end to a caller that takes nothing, and expects an upper bound of the bytes that are kept. */
	async function doTest(budgetBytes: number, maximumBytes: number): Promise<void> {
		const caller = createCaller();
		const {target, getReservedBytes} = startBody(caller, budgetBytes);
		const writtenBytes = fill(target);
		expect(writtenBytes <= maximumBytes).toEqual(true);
		expect(getReservedBytes() <= budgetBytes).toEqual(true);
		caller.leave();
		await delay(settleMilliseconds);
		expect(getReservedBytes()).toEqual(0);
	}

	test('keeps a megabyte at most of one response', async () => doTest(hugeBytes, 1_048_576 + (2 * partBytes)));
	test('keeps no more than the budget of all responses, and one part', async () => doTest(300_000, 300_000 + (2 * partBytes)));

	test('reads on when its caller has taken half of what was kept', async () => {
		const caller = createCaller();
		const {target} = startBody(caller, hugeBytes);
		let drains = 0;
		target.on('drain', () => {
			drains++;
		});
		const writtenBytes = fill(target);
		await delay(settleMilliseconds);
		expect([drains, writtenBytes < hugeBytes]).toEqual([0, true]);
		caller.take();
		await delay(settleMilliseconds);
		expect([drains, caller.getReceivedBytes()]).toEqual([1, writtenBytes]);
		caller.leave();
	});
	test('ends behind the last byte', async () => {
		const caller = createCaller();
		const {target, getAdmittedCount} = startBody(caller, hugeBytes);
		target.write(Buffer.alloc(partBytes));
		target.end();
		await delay(settleMilliseconds);
		expect([caller.isEnded(), getAdmittedCount()]).toEqual([false, 1]);
		caller.take();
		await delay(settleMilliseconds);
		expect([caller.isEnded(), caller.getReceivedBytes(), getAdmittedCount()]).toEqual([true, partBytes, 0]);
	});
	test('ends at once without bytes', async () => {
		const caller = createCaller();
		startBody(caller, hugeBytes).target.end();
		await delay(settleMilliseconds);
		expect(caller.isEnded()).toEqual(true);
	});
});
