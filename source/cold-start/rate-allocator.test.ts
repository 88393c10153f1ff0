import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../randomness/index.js';
import {createCandidate} from '../choice/index.js';
import {announcementSchema} from '../announcement/index.js';
import {createRateAllocator, type RateAllocator, type RatePermit} from './rate-allocator.js';

const termMilliseconds = 3000;

/** Gets the maximum number of requests per second to a cold server that its operators allow: one and a half times its rate, plus five. */
function getBound(requestsPerSecond: number): number {
	return (requestsPerSecond * 1.5) + 5;
}

describe('createRateAllocator: a zone that is put back into service while every entry has requests for it', () => {
	/** Lets every entry send whenever its permit allows, and checks the requests in the busiest second of a cold server. */
	function doTest(seed: number, entryCount: number, requestsPerSecond: number): void {
		const random = createRandom(seed);
		const allocator = createRateAllocator();
		allocator.add({
			id: 1, requestsPerSecond, grantableAt: 0, coldUntil: 10_000,
		});
		const announcement = announcementSchema.parse({
			service: 'stock', name: 'one', host: '127.0.0.1', port: 1, zone: 'north', slots: 6, connections: 100, boot: 'b', state: 'warm',
		});
		const entries = Array.from({length: entryCount}, (_, index) => ({
			name: `e${index}`, candidate: createCandidate(1, announcement, 'cold'), renewAt: random() * 500, expiresAt: 0,
		}));
		const sentAt: number[] = [];
		for (let now = 0; now < 9000; now++) {
			for (const entry of entries) {
				if (now >= entry.renewAt) {
					entry.renewAt = now + 500;
					entry.expiresAt = now + termMilliseconds;
					const [permit] = allocator.grant({
						entry: entry.name, expiresAt: entry.expiresAt, entryCount, now,
					});
					entry.candidate.setRate(permit?.requestsPerSecond);
				}

				if (entry.candidate.isAvailable(now)) {
					entry.candidate.start(now);
					sentAt.push(now);
				}
			}
		}

		const requestsInBusiestSecond = Math.max(...sentAt.map((from, index) => sentAt.slice(index).filter(at => at < from + 1000).length));
		expect(requestsInBusiestSecond <= getBound(requestsPerSecond)).toEqual(true);
		expect(sentAt.length >= requestsPerSecond * 9 * 0.8).toEqual(true);
	}

	test('uses most of the rate and stays within the bound with 19 entries', () => {
		doTest(1, 19, 18);
	});
	test('uses most of the rate and stays within the bound with 60 entries', () => {
		doTest(2, 60, 9.2);
	});
});

describe('createRateAllocator: many cold servers', () => {
	/** Lets every entry renew a few times, and checks the fewest and the most permits of one entry. */
	function doTest(serverCount: number, entryCount: number, expected: readonly [fewest: number, most: number]): void {
		const allocator = createRateAllocator();
		for (let id = 1; id <= serverCount; id++) {
			allocator.add({
				id, requestsPerSecond: 18, grantableAt: 0, coldUntil: 10_000,
			});
		}

		let counts: readonly number[] = [];
		for (let round = 0; round < 3; round++) {
			counts = Array.from({length: entryCount}, (_, index) => allocator.grant({
				entry: `e${index}`, expiresAt: (round * 500) + termMilliseconds, entryCount, now: round * 500,
			}).length);
		}

		expect([Math.min(...counts), Math.max(...counts)]).toEqual([expected[0], expected[1]]);
	}

	test('spreads the permits of a zone that is put back into service over all entries', () => {
		doTest(12, 19, [0, 3]);
		doTest(19, 19, [4, 4]);
	});
	test('grants a single entry all permits', () => {
		doTest(12, 1, [12, 12]);
	});
});

describe('createRateAllocator: holders', () => {
	function grant(allocator: RateAllocator, entry: string, expiresAt: number, now: number): readonly RatePermit[] {
		return allocator.grant({
			entry, expiresAt, entryCount: 5, now,
		});
	}

	test('grants nothing while permits of an earlier leader may be in use', () => {
		const allocator = createRateAllocator();
		allocator.add({
			id: 1, requestsPerSecond: 8, grantableAt: 3000, coldUntil: 9000,
		});
		expect(grant(allocator, 'a', 4000, 1000)).toEqual([]);
		expect(grant(allocator, 'a', 6000, 3000)).toEqual([{server: 1, requestsPerSecond: 2}]);
	});
	test('grants a permit to another entry only after the lease of its holder has ended', () => {
		const allocator = createRateAllocator();
		allocator.add({
			id: 1, requestsPerSecond: 8, grantableAt: 0, coldUntil: 9000,
		});
		for (const entry of ['a', 'b', 'c', 'd']) {
			grant(allocator, entry, 3000, 0);
		}

		expect(grant(allocator, 'e', 5999, 2999)).toEqual([]);
		expect(grant(allocator, 'e', 6000, 3000).length).toEqual(1);
	});
	test('releases no permit by a lease that ended after the receipt of a renewal', () => {
		const allocator = createRateAllocator();
		allocator.add({
			id: 1, requestsPerSecond: 8, grantableAt: 0, coldUntil: 9000,
		});
		for (const entry of ['a', 'b', 'c', 'd']) {
			grant(allocator, entry, 3000, 0);
		}

		allocator.expireLease('a', 3000);
		expect(grant(allocator, 'e', 5900, 2900)).toEqual([]);
		expect(grant(allocator, 'e', 6000, 3000).length).toEqual(1);
	});
	test('keeps a server cold for the longest of its cold times', () => {
		const allocator = createRateAllocator();
		allocator.add({
			id: 1, requestsPerSecond: 8, grantableAt: 0, coldUntil: 5000,
		});
		allocator.add({
			id: 1, requestsPerSecond: 8, grantableAt: 0, coldUntil: 2000,
		});
		expect(allocator.getWarmed(4999)).toEqual([]);
		expect(allocator.getWarmed(5000)).toEqual([1]);
	});
});
