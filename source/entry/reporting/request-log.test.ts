import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRecordedLog} from '../../../stand-in/recorded-log.js';
import {notRun, type Verdict} from '../../verdict/index.js';
import {createRequestLog} from './request-log.js';

describe('createRequestLog', () => {
	/** Ends the given number of requests within one second, and gets the logged lines. */
	function getLoggedLines(count: number, verdict: Verdict): ReadonlyArray<Readonly<Record<string, unknown>>> {
		const log = createRecordedLog();
		let now = 0;
		const requestLog = createRequestLog(log, () => now);
		for (let index = 0; index < count; index++) {
			now = index * 1000 / count;
			const trace = requestLog.start({
				id: `r${index}`, route: 'orders', service: 'stock', version: 7, targetMilliseconds: 200, elapsedMilliseconds: 0, at: now,
			});
			trace.record({
				kind: 'send', attempt: 'first', server: 's1', leftMilliseconds: 900,
			});
			trace.end(verdict, 20);
		}

		return log.lines;
	}

	function doTest(count: number, verdict: Verdict, least: number, most: number): void {
		const {length} = getLoggedLines(count, verdict);
		expect(length >= least && length <= most).toEqual(true);
	}

	test('logs every refusal at a low rate', () => {
		doTest(30, notRun('overload'), 30, 30);
	});
	test('limits the rate of logged refusals and counts the omitted ones', () => {
		doTest(2000, notRun('overload'), 90, 101);
		const counted = getLoggedLines(2000, notRun('overload')).reduce((sum, line) => sum + 1 + Number(line.leftOut ?? 0), 0);
		expect(counted > 1950).toEqual(true);
	});
	test('samples ordinary requests', () => {
		doTest(640, {kind: 'ran', status: 200}, 10, 10);
	});
	test('logs the decisions with their times', () => {
		expect(getLoggedLines(1, notRun('overload'))[0]).toEqual({
			message: 'request', id: 'r0', route: 'orders', service: 'stock', version: 7, targetMilliseconds: 200, elapsedMilliseconds: 0, outcome: 'not-run overload', milliseconds: 20, decisions: [{
				at: 0, kind: 'send', attempt: 'first', server: 's1', leftMilliseconds: 900,
			}],
		});
	});
});
