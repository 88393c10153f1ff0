import {describe, test} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, constantFrom, integer, property, tuple,
} from 'fast-check';
import {createLinkLoad} from './link-load.js';
import {getNextStep, type LargeStream} from './link-schedule.js';

const seed = 3302;
const megabitsPerSecond = 11;
const window = 20 * megabitsPerSecond * 125 * 0.9;

type Stream = LargeStream & {readonly name: string; readyBytes: number};

function createStream(name: string, dueAt: number, readyBytes: number): Stream {
	const stream: Stream = {
		name, dueAt, readyBytes, getReadyBytes: () => stream.readyBytes,
	};
	return stream;
}

describe('getNextStep', () => {
	/** Writes what the link takes at a time, and gets the names of the responses that wrote. */
	function doTest(streams: readonly Stream[], expected: readonly string[], smallBytes = 0): void {
		const load = createLinkLoad(megabitsPerSecond);
		load.recordSmall(smallBytes, 100);
		const names: string[] = [];
		for (let step = getNextStep(streams, load, 100); step.kind === 'write'; step = getNextStep(streams, load, 100)) {
			names.push(step.stream.name);
			step.stream.readyBytes -= step.bytes;
			load.recordLarge(step.bytes, 100);
		}

		expect(names).toEqual([...expected]);
	}

	test('lets the response that is due first write first', () => {
		doTest([createStream('later', 900, 5000), createStream('first', 500, 5000)], ['first', 'later']);
	});
	test('lets late responses write after those that can be in time', () => {
		doTest([createStream('late', 50, 5000), createStream('in time', 900, 5000)], ['in time', 'late']);
	});
	test('writes no more ahead than the window', () => {
		doTest([createStream('one', 500, 1_000_000)], ['one', 'one']);
	});
	test('writes nothing while small responses fill the link', () => {
		doTest([createStream('one', 500, 1_000_000)], [], 100_000);
	});
	test('passes over responses without bytes', () => {
		doTest([createStream('empty', 100, 0), createStream('one', 500, 100)], ['one']);
	});

	// Guards against a small response that waits behind more than the window, and against a link that stands still.
	test('bounds what is written ahead, and writes again after the stated wait', () => {
		const event = tuple(constantFrom('small', 'large', 'time'), integer({min: 1, max: 60_000}));
		assert(property(array(event, {maxLength: 100}), events => {
			const load = createLinkLoad(megabitsPerSecond);
			const stream = createStream('one', 0, 0);
			let now = 0;
			for (const [kind, amount] of events) {
				if (kind === 'small') {
					load.recordSmall(amount, now);
				} else if (kind === 'large') {
					stream.readyBytes += amount;
				} else {
					now += amount / 1000;
				}

				let step = getNextStep([stream], load, now);
				for (; step.kind === 'write'; step = getNextStep([stream], load, now)) {
					expect(step.bytes >= 1 && step.bytes <= stream.readyBytes).toEqual(true);
					load.recordLarge(step.bytes, now);
					stream.readyBytes -= step.bytes;
					expect(load.getQueuedBytes(now) <= window + 1).toEqual(true);
				}

				expect(step.kind === 'idle').toEqual(stream.readyBytes === 0);
				if (step.kind === 'wait') {
					now += step.milliseconds + 0.001;
					expect(getNextStep([stream], load, now).kind).toEqual('write');
				}
			}
		}), {seed});
	});
});

describe('createLinkLoad', () => {
	test('leaves to large responses what small ones do not use', () => {
		const load = createLinkLoad(megabitsPerSecond);
		for (let now = 0; now < 5000; now += 10) {
			load.recordSmall(megabitsPerSecond * 1250 * 0.45, now);
		}

		expect(Math.round(load.getLargeRate(5000) / load.getRate() * 10)).toEqual(5);
		expect(Math.round(load.getLargeRate(15_000) / load.getRate() * 10)).toEqual(10);
	});
});
