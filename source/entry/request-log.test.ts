import {describe, test} from 'node:test';
import {expect} from 'earl';
import {notRun, type Verdict} from '../verdict/index.js';
import {createRequestLog} from './request-log.js';

describe('createStoryteller', () => {
	/** Ends so many requests within one second, and gets what was told. */
	function tell(count: number, verdict: Verdict): ReadonlyArray<Readonly<Record<string, unknown>>> {
		const lines: Array<Readonly<Record<string, unknown>>> = [];
		const write = (fields: Readonly<Record<string, unknown>>): void => {
			lines.push(fields);
		};

		let now = 0;
		const teller = createRequestLog({info: write, warn: write, error: write}, () => now);
		for (let index = 0; index < count; index++) {
			now = index * 1000 / count;
			const story = teller.start({
				id: `r${index}`, route: 'orders', service: 'stock', version: 7, targetMilliseconds: 200, elapsedMilliseconds: 0, at: now,
			});
			story.record({
				kind: 'send', attempt: 'first', server: 's1', leftMilliseconds: 900,
			});
			story.end(verdict, 20);
		}

		return lines;
	}

	function doTest(count: number, verdict: Verdict, least: number, most: number): void {
		const {length} = tell(count, verdict);
		expect(length >= least && length <= most).toEqual(true);
	}

	test('tells of every refusal at a low rate', () => {
		doTest(30, notRun('overload'), 30, 30);
	});
	test('bounds the refusals that it tells of, and says how many it left out', () => {
		doTest(2000, notRun('overload'), 90, 101);
		const told = tell(2000, notRun('overload')).reduce((sum, line) => sum + 1 + Number(line.leftOut ?? 0), 0);
		expect(told > 1950).toEqual(true);
	});
	test('samples what went as usual', () => {
		doTest(640, {kind: 'ran', status: 200}, 10, 10);
	});
	test('tells the decisions with their times', () => {
		expect(tell(1, notRun('overload'))[0]).toEqual({
			id: 'r0', route: 'orders', service: 'stock', version: 7, targetMilliseconds: 200, elapsedMilliseconds: 0, outcome: 'not-run overload', milliseconds: 20, decisions: [{
				at: 0, kind: 'send', attempt: 'first', server: 's1', leftMilliseconds: 900,
			}],
		});
	});
});
