import {describe, test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createKeepAlive, keepAliveIntervalMilliseconds, type KeepAlive} from './keep-alive.js';

type Message = {readonly at: number; readonly from: 0 | 1};

/** Course of a link between two ends: both check it at regular intervals, and send messages. */
type Course = {
	readonly isSlowAllowed: boolean;
	readonly latencyMilliseconds: number;
	/** Time of the first check of each end. */
	readonly firstChecks: readonly [number, number];
	readonly messages: readonly Message[];
	/** Time from which on nothing arrives. */
	readonly cutAt: number;
	readonly until: number;
};

type Outcome = {
	/** Time at which each end gave the link up. */
	readonly closedAt: ReadonlyArray<number | undefined>;
	readonly pings: number;
};

/** Plays a course in steps of a millisecond. */
function play(course: Course): Outcome {
	const ends: readonly KeepAlive[] = [createKeepAlive(course.isSlowAllowed, 0), createKeepAlive(course.isSlowAllowed, 0)];
	const closedAt: Array<number | undefined> = [undefined, undefined];
	const arrivals = new Map<number, Array<{readonly to: 0 | 1; readonly isPing: boolean}>>();
	let pings = 0;

	function send(from: 0 | 1, now: number, isPing: boolean): void {
		ends[from]!.recordSent(now, isPing);
		const at = now + course.latencyMilliseconds;
		if (at < course.cutAt) {
			arrivals.set(at, [...arrivals.get(at) ?? [], {to: from === 0 ? 1 : 0, isPing}]);
		}
	}

	function check(end: 0 | 1, now: number): void {
		const action = closedAt[end] === undefined ? ends[end]!.getAction(now) : 'none';
		if (action === 'close') {
			closedAt[end] = now;
		} else if (action === 'ping') {
			pings++;
			send(end, now, true);
		}
	}

	for (let now = 0; now < course.until; now++) {
		for (const {to, isPing} of arrivals.get(now) ?? []) {
			ends[to]!.recordReceived(now);
			if (!isPing) {
				ends[to]!.recordMessage(now);
			}
		}

		for (const {from} of course.messages.filter(message => message.at === now)) {
			send(from, now, false);
		}

		for (const end of [0, 1] as const) {
			if (now >= course.firstChecks[end] && (now - course.firstChecks[end]) % keepAliveIntervalMilliseconds === 0) {
				check(end, now);
			}
		}
	}

	return {closedAt, pings};
}

const until = 20_000;
const end = fc.constantFrom<0 | 1>(0, 1);
const courses = fc.record({
	isSlowAllowed: fc.boolean(),
	latencyMilliseconds: fc.integer({min: 1, max: 200}),
	firstChecks: fc.tuple(fc.nat(keepAliveIntervalMilliseconds - 1), fc.nat(keepAliveIntervalMilliseconds - 1)),
	messages: fc.array(fc.record({at: fc.nat(until - 1), from: end}), {maxLength: 12}),
});

describe('createKeepAlive', () => {
	test('keeps a sound link, whatever messages are sent and however long the pauses are', () => {
		fc.assert(fc.property(courses, course => {
			expect(play({...course, cutAt: Number.POSITIVE_INFINITY, until}).closedAt).toEqual([undefined, undefined]);
		}), {seed: 81, numRuns: 150});
	});

	test('gives a cut link up within two seconds of the first message that needs it', () => {
		fc.assert(fc.property(courses, fc.nat(9000), fc.nat(3000), end, (course, cutAt, pause, from) => {
			const at = cutAt + pause;
			const messages = [...course.messages.filter(message => message.at < cutAt), {at, from}];
			const closedAt = play({
				...course, messages, cutAt, until,
			}).closedAt[from]!;
			expect(closedAt <= at + 1800 + keepAliveIntervalMilliseconds).toEqual(true);
		}), {seed: 82, numRuns: 150});
	});

	test('gives a cut link that nobody uses up after five seconds, and after two without slow pings', () => {
		fc.assert(fc.property(courses, fc.nat(9000), (course, cutAt) => {
			const limit = cutAt + (course.isSlowAllowed ? 4800 : 1800) + course.latencyMilliseconds + keepAliveIntervalMilliseconds;
			const messages = course.messages.filter(message => message.at < cutAt);
			expect(play({
				...course, messages, cutAt, until,
			}).closedAt.every(closedAt => closedAt !== undefined && closedAt <= limit)).toEqual(true);
		}), {seed: 83, numRuns: 150});
	});

	function countPings(isSlowAllowed: boolean, messages: readonly Message[]): number {
		return play({
			isSlowAllowed, latencyMilliseconds: 1, firstChecks: [0, 100], messages, cutAt: Number.POSITIVE_INFINITY, until,
		}).pings;
	}

	test('sends a third of the pings on a link that is not used', () => {
		expect([countPings(false, []), countPings(true, [])]).toEqual([66, 23]);
	});
	test('sends as many pings as without slow pings on a link that one end uses', () => {
		const messages = Array.from({length: 40}, (_, index) => ({at: index * 500, from: 0 as const}));
		expect([countPings(false, messages), countPings(true, messages)]).toEqual([33, 33]);
	});
});
