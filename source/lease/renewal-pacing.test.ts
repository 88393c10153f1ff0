import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRenewalPacing, type RenewalPacing} from './renewal-pacing.js';

describe('createRenewalPacing', () => {
	function doTest(run: (pacing: RenewalPacing) => void, expectedDueAt: number): void {
		const pacing = createRenewalPacing({renewMilliseconds: 500, answerTimeoutMilliseconds: 800});
		pacing.recordSent(1000);
		run(pacing);
		expect(pacing.getDueAt()).toEqual(expectedDueAt);
	}

	test('renews at the regular interval after an answer', () => {
		doTest(pacing => {
			pacing.recordAnswer();
		}, 1500);
	});
	test('sends no second renewal before the timeout of the first', () => {
		doTest(() => undefined, 1800);
	});
	test('lets a requested renewal wait for the answer to the one before', () => {
		doTest(pacing => {
			pacing.request();
		}, 1800);
		doTest(pacing => {
			pacing.request();
			pacing.recordAnswer();
		}, 1020);
	});
	test('keeps the time of the regular renewal after a requested one', () => {
		doTest(pacing => {
			pacing.recordAnswer();
			pacing.request();
			pacing.recordSent(1200);
			pacing.recordAnswer();
		}, 1500);
	});
	test('sends at once after a lost renewal', () => {
		doTest(pacing => {
			pacing.expedite();
		}, 1020);
	});
});
