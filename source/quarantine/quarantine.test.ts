import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createQuarantine, quarantineMilliseconds} from './index.js';

describe('createQuarantine', () => {
	function doTest(reports: ReadonlyArray<readonly [server: number, at: number] | 'clear'>, at: number, expected: boolean): void {
		const quarantine = createQuarantine();
		for (const report of reports) {
			if (report === 'clear') {
				quarantine.clear('f');
			} else {
				quarantine.reportCrash('f', ...report);
			}
		}

		expect(quarantine.isQuarantined('f', at)).toEqual(expected);
		expect(quarantine.getQuarantined(at)).toEqual(expected ? ['f'] : []);
	}

	test('allows one crash', () => {
		doTest([[1, 0]], 0, false);
	});
	test('refuses after two servers crashed', () => {
		doTest([[1, 0], [2, 1]], 1, true);
	});
	test('counts a server once, however many entries report it', () => {
		doTest([[1, 0], [1, 1]], 1, false);
	});
	test('forgets a crash after a success', () => {
		doTest([[1, 0], 'clear', [2, 1]], 1, false);
	});
	test('does not let a late success end a quarantine', () => {
		doTest([[1, 0], [2, 1], 'clear'], 1, true);
	});
	test('ends after its time', () => {
		doTest([[1, 0], [2, 1]], 1 + quarantineMilliseconds, false);
	});
});
