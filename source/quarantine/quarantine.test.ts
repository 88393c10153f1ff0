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

	test('does not quarantine a fingerprint after one crash', () => {
		doTest([[1, 0]], 0, false);
	});
	test('quarantines a fingerprint after two servers have crashed', () => {
		doTest([[1, 0], [2, 1]], 1, true);
	});
	test('counts a server once, even if several entries report it', () => {
		doTest([[1, 0], [1, 1]], 1, false);
	});
	test('removes the crashes before a success', () => {
		doTest([[1, 0], 'clear', [2, 1]], 1, false);
	});
	test('does not end a quarantine after a success', () => {
		doTest([[1, 0], [2, 1], 'clear'], 1, true);
	});
	test('ends the quarantine when its time has elapsed', () => {
		doTest([[1, 0], [2, 1]], 1 + quarantineMilliseconds, false);
	});
});
