import {describe, test} from 'node:test';
import {expect} from 'earl';
import {
	createQuarantine, maximumReports, quarantineCrashThreshold, quarantineMilliseconds, type Quarantine,
} from './index.js';

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
	test('states the newest crashes, so that another leader can count them', () => {
		const quarantine = createQuarantine();
		quarantine.reportCrash('old', 1, 0);
		quarantine.reportCrash('f', 1, 10);
		quarantine.reportCrash('f', 2, 20);
		expect(quarantine.getReports(30)).toEqual([{fingerprint: 'f', server: 1}, {fingerprint: 'f', server: 2}, {fingerprint: 'old', server: 1}]);
		expect(quarantine.getReports(quarantineMilliseconds)).toEqual([{fingerprint: 'f', server: 1}, {fingerprint: 'f', server: 2}]);
	});
	test('states a limited number of crashes', () => {
		const quarantine = createQuarantine();
		for (let index = 0; index < 5000; index++) {
			quarantine.reportCrash(`f${index}`, 1, index);
		}

		const reports = quarantine.getReports(5000);
		expect([reports.length, reports[0]?.fingerprint]).toEqual([maximumReports, 'f4999']);
	});
	test('ends the quarantine when its time has elapsed', () => {
		doTest([[1, 0], [2, 1]], 1 + quarantineMilliseconds, false);
	});
});

describe('createQuarantine: a fingerprint that an earlier leader quarantined', () => {
	function doTest(run: (quarantine: Quarantine) => void, at: number, expected: boolean): void {
		const quarantine = createQuarantine();
		run(quarantine);
		expect([quarantine.isQuarantined('f', at), quarantine.getQuarantined(at)]).toEqual([expected, expected ? ['f'] : []]);
	}

	test('is quarantined, also after a success', () => {
		doTest(quarantine => {
			quarantine.inherit('f', 0);
			quarantine.clear('f');
		}, 1, true);
	});
	test('is not quarantined for longer because several entries state it', () => {
		doTest(quarantine => {
			quarantine.inherit('f', 0);
			quarantine.inherit('f', 1000);
		}, quarantineMilliseconds, false);
	});
	test('is refused at the next crash', () => {
		doTest(quarantine => {
			quarantine.inherit('f', 0);
			expect(quarantine.reportCrash('f', 1, 10)).toEqual(quarantineCrashThreshold);
		}, 10, true);
	});
	test('is quarantined if a crash was reported before', () => {
		doTest(quarantine => {
			quarantine.reportCrash('f', 1, 0);
			quarantine.inherit('f', 0);
		}, 1, true);
	});
});
