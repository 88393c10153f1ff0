import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRefusalRecord} from './refusal-period.js';

// Guards against a line in the log for each refusal of a burst.
describe('createRefusalRecord', () => {
	function doTest(events: ReadonlyArray<readonly ['refusal' | 'admission', number]>, expected: readonly string[]): void {
		const changes: string[] = [];
		const refusals = createRefusalRecord({
			onRefusing() {
				changes.push('refusing');
			},
			onAccepting({refused, milliseconds}) {
				changes.push(`accepting after ${refused} in ${milliseconds}`);
			},
		});
		for (const [kind, at] of events) {
			if (kind === 'refusal') {
				refusals.recordRefusal(at);
			} else {
				refusals.recordAdmission(at);
			}
		}

		expect(changes).toEqual([...expected]);
	}

	test('tells the begin and the end of a period once', () => {
		doTest([['admission', 0], ['refusal', 10], ['refusal', 30], ['admission', 40], ['refusal', 50], ['admission', 2000], ['admission', 2001]], ['refusing', 'accepting after 3 in 40']);
	});
	test('tells the next period', () => {
		doTest([['refusal', 0], ['admission', 1500], ['refusal', 3000]], ['refusing', 'accepting after 1 in 0', 'refusing']);
	});
});
