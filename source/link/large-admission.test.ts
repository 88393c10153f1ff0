import {describe, test} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, boolean, integer, property, record,
} from 'fast-check';
import {
	createLargeAdmission, type LargeAdmission, type LargeRequest, type LargeTicket,
} from './large-admission.js';

const rate = 1000;
const seed = 3301;

const ordinary: LargeRequest = {
	expectedBytes: 100_000, expectedWaitMilliseconds: 200, targetMilliseconds: 1200, leftMilliseconds: 1200,
};

function doNothing(): void {
	// Admissions after a wait are not observed.
}

function arrive(admission: LargeAdmission, request: LargeRequest = ordinary): string {
	return admission.arrive(request, rate, doNothing).kind;
}

// Guards against more large responses than a link carries in time, which would all be late.
describe('createLargeAdmission', () => {
	/** Lets requests arrive at once, and counts the decisions. */
	function doTest(count: number, request: LargeRequest, expected: Readonly<Record<string, number>>): void {
		const admission = createLargeAdmission();
		const counts: Record<string, number> = {admitted: 0, waiting: 0, refused: 0};
		for (let index = 0; index < count; index++) {
			counts[arrive(admission, request)]!++;
		}

		expect(counts).toEqual(expected);
	}

	test('admits what the link carries within the target behind a server, lets an eighth wait, and refuses the rest', () => {
		// 100 ms each; 900 ms are left behind the server and the own response.
		doTest(20, ordinary, {admitted: 10, waiting: 1, refused: 9});
	});
	test('admits fewer that have less time left', () => {
		doTest(20, {...ordinary, leftMilliseconds: 600}, {admitted: 4, waiting: 1, refused: 15});
	});
	test('admits those that are late already as if they had just arrived', () => {
		doTest(20, {...ordinary, leftMilliseconds: 100}, {admitted: 10, waiting: 1, refused: 9});
	});
	test('admits one that alone takes longer than its target', () => {
		doTest(5, {...ordinary, expectedBytes: 5_000_000}, {admitted: 1, waiting: 0, refused: 4});
	});
	test('counts at most half of the target as wait for a server', () => {
		doTest(20, {...ordinary, expectedWaitMilliseconds: 5000}, {admitted: 6, waiting: 1, refused: 13});
	});
	test('bounds the number of tiny ones', () => {
		doTest(500, {
			...ordinary, expectedBytes: 1, targetMilliseconds: 60_000, leftMilliseconds: 60_000,
		}, {admitted: 256, waiting: 0, refused: 244});
	});

	test('admits a waiting request once a response has ended', () => {
		const admission = createLargeAdmission();
		const tickets: LargeTicket[] = [];
		let isAdmitted = false;
		for (let index = 0; index < 11; index++) {
			const decision = admission.arrive(ordinary, rate, () => {
				isAdmitted = true;
			});
			if (decision.kind === 'admitted') {
				tickets.push(decision.ticket);
			}
		}

		admission.admitWaiting(rate);
		expect(isAdmitted).toEqual(false);
		tickets[0]!.end();
		admission.admitWaiting(rate);
		expect([isAdmitted, admission.getAdmittedCount(), admission.getWaitingCount()]).toEqual([true, 10, 0]);
	});
	test('does not count a caller that takes nothing', () => {
		const admission = createLargeAdmission();
		for (let index = 0; index < 10; index++) {
			const decision = admission.arrive(ordinary, rate, doNothing);
			if (decision.kind === 'admitted') {
				decision.ticket.setBlocked(true);
			}
		}

		expect(arrive(admission)).toEqual('admitted');
	});
	test('leaves half of a target to others beside a response without end', () => {
		const admission = createLargeAdmission();
		const decision = admission.arrive(ordinary, rate, doNothing);
		if (decision.kind === 'admitted') {
			decision.ticket.setRemaining(1_000_000_000);
		}

		expect(arrive(admission)).toEqual('admitted');
	});

	// Guards against a Retry-After that sends callers back too early, or much too late.
	test('states the time after which a refused request would be admitted', () => {
		const request = record({
			bytes: integer({min: 1, max: 600_000}), wait: integer({min: 0, max: 1500}), left: integer({min: -500, max: 1200}), isBlocked: boolean(),
		});
		assert(property(array(request, {maxLength: 60}), requests => {
			const admission = createLargeAdmission();
			const admitted: Array<{readonly ticket: LargeTicket; remainingBytes: number; readonly isBlocked: boolean}> = [];
			for (const {bytes, wait, left, isBlocked} of requests) {
				const large: LargeRequest = {
					expectedBytes: bytes, expectedWaitMilliseconds: wait, targetMilliseconds: 1200, leftMilliseconds: left,
				};
				const decision = admission.arrive(large, rate, doNothing);
				if (decision.kind === 'admitted') {
					decision.ticket.setBlocked(isBlocked);
					admitted.push({ticket: decision.ticket, remainingBytes: Math.max(bytes, 16_384), isBlocked});
				} else if (decision.kind === 'waiting') {
					decision.ticket.end();
				} else {
					let carriedBytes = Math.ceil(decision.retryAfterMilliseconds * rate) + 1;
					for (const response of admitted.filter(other => !other.isBlocked)) {
						const bytesOfResponse = Math.min(carriedBytes, response.remainingBytes);
						response.remainingBytes -= bytesOfResponse;
						carriedBytes -= bytesOfResponse;
						response.ticket.setRemaining(response.remainingBytes);
					}

					const later = admission.arrive(large, rate, doNothing);
					expect(later.kind).toEqual('admitted');
					if (later.kind === 'admitted') {
						later.ticket.end();
					}
				}
			}
		}), {seed});
	});
});
