import {describe, test} from 'node:test';
import {expect} from 'earl';
import {announcementSchema} from '../announcement/index.js';
import {createCandidate, type Candidate} from './index.js';

// Guards against a burst for a cold server each time a lease or a step of the clock has ended its permit and a grant restores it.
describe('createCandidate: the rate of a cold server', () => {
	const requestsPerSecond = 2;

	/** Sends what the rate allows for ten seconds, changes the permit every 50 ms, and gets the number of requests. */
	function doTest(change: (candidate: Candidate, now: number) => void, expected: number): void {
		const candidate = createCandidate(1, announcementSchema.parse({
			service: 'stock', name: 'one', host: '127.0.0.1', port: 1, zone: 'north', slots: 2, connections: 100, boot: 'b', state: 'cold',
		}), 'cold');
		candidate.setRate(requestsPerSecond);
		let requests = 0;
		for (let now = 0; now < 10_000; now += 10) {
			if (now % 50 === 0) {
				change(candidate, now);
			}

			if (candidate.isAvailable(now)) {
				candidate.start(now);
				candidate.finish('success', now);
				requests++;
			}
		}

		expect(requests).toEqual(expected);
	}

	test('is kept while the permit is granted again', () => {
		doTest(candidate => {
			candidate.setRate(requestsPerSecond);
		}, 20);
	});
	test('is kept when the permit is revoked and granted again', () => {
		doTest(candidate => {
			candidate.revokePermits();
			candidate.setRate(requestsPerSecond);
		}, 20);
	});
	test('is kept when the permit is another entry\'s for a moment', () => {
		doTest(candidate => {
			candidate.setRate(undefined);
			candidate.setRate(requestsPerSecond);
		}, 20);
	});
	test('is kept when it changes', () => {
		doTest((candidate, now) => {
			candidate.setRate(now % 100 === 0 ? requestsPerSecond : requestsPerSecond / 2);
		}, 20);
	});
});
