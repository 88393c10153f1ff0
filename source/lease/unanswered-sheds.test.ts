import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createUnansweredSheds, type Permit} from './index.js';

describe('createUnansweredSheds', () => {
	type Step = {readonly sheds: number} | {readonly answered: number; readonly permits?: readonly Permit[]};

	/** Sends a renewal for each step with sheds, numbered from 1, and gets the number of unanswered reports that the last one states. */
	function doTest(steps: readonly Step[], expected: number | undefined): void {
		const unanswered = createUnansweredSheds();
		let sequence = 0;
		let stated: number | undefined;
		for (const step of steps) {
			if ('answered' in step) {
				unanswered.recordAnswer({sequence: step.answered, permits: step.permits ?? []});
			} else {
				const [observation] = unanswered.addTo(++sequence, [{
					server: 1, inFlight: 0, successes: 0, sheds: step.sheds, isCold: false,
				}]);
				stated = observation?.unansweredShedReports;
			}
		}

		expect(stated).toEqual(expected);
	}

	test('are stated in later renewals, once for each renewal that reported some', () => {
		doTest([{sheds: 2}], undefined);
		doTest([{sheds: 2}, {sheds: 0}], 1);
		doTest([{sheds: 2}, {sheds: 1}, {sheds: 0}, {sheds: 0}], 2);
	});
	test('end with the grant of their renewal or of a later one', () => {
		doTest([{sheds: 2}, {answered: 1}, {sheds: 0}], undefined);
		doTest([{sheds: 2}, {sheds: 1}, {answered: 1}, {sheds: 0}], 1);
		doTest([{sheds: 2}, {sheds: 1}, {answered: 2}, {sheds: 0}], undefined);
	});
	test('do not end with a grant with which the entry keeps its permit', () => {
		doTest([{sheds: 2}, {answered: 1, permits: [{server: 1, slots: 3, isKept: true}]}, {sheds: 0}], 1);
		doTest([{sheds: 2}, {answered: 1, permits: [{server: 2, slots: 3, isKept: true}]}, {sheds: 0}], undefined);
	});
});
