import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRegister, documentSchema} from '../configuration/index.js';
import {getLongestEarlierDeadline} from './earlier-deadlines.js';

const termMilliseconds = 3000;

/** Time after which requests that were sent with a deadline of 8 s have ended, whatever the clocks differ by. */
const settledMilliseconds = termMilliseconds + 8000 + 60_000;

describe('getLongestEarlierDeadline', () => {
	/** Applies a document with each deadline at its time, and gets the longest one at a time. */
	function doTest(versions: ReadonlyArray<readonly [at: number, deadlineMilliseconds: number]>, wallClock: number, expected: number): void {
		const register = createRegister();
		for (const [base, [at, deadlineMilliseconds]] of versions.entries()) {
			const document = documentSchema.parse({zones: [{name: 'north'}], services: [{name: 'stock', deadlineMilliseconds}, {name: 'price', path: '/price', deadlineMilliseconds: 30_000}]});
			register.apply({
				kind: 'apply', environment: 'production', base, change: `c${base}`, author: 'a', at, update: {kind: 'whole', document},
			});
		}

		expect(getLongestEarlierDeadline({
			register, service: 'stock', termMilliseconds, wallClock,
		})).toEqual(expected);
	}

	test('is none while no document was replaced', () => {
		doTest([], 0, 0);
		doTest([[0, 8000]], 0, 0);
	});
	test('counts from the replacement of its document', () => {
		doTest([[0, 8000], [500_000, 500]], 500_000 + settledMilliseconds, 8000);
		doTest([[0, 8000], [500_000, 500]], 500_000 + settledMilliseconds + 1, 0);
		doTest([[0, 8000], [500_000, 500], [500_010, 600]], 500_020, 8000);
	});
	test('counts if the clock of this host is behind', () => {
		doTest([[0, 8000], [500_000, 500]], 400_000, 8000);
	});
});
