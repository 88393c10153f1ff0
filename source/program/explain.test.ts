import {describe, test} from 'node:test';
import {expect} from 'earl';
import {getRelevantLines, readLogLines} from './explain.js';

const text = [
	'  1.5 e1 {"name":"e1","msg":"zones out of service","time":"2026-01-01T00:00:01.000Z"}',
	'{"name":"e2","msg":"zones out of service","time":"2026-01-01T00:00:01.500Z"}',
	'{"name":"e1","id":"r7","msg":"request","time":"2026-01-01T00:00:02.000Z"}',
	'{"name":"e1","id":"r8","msg":"request","time":"2026-01-01T00:00:02.000Z"}',
	'{"name":"e3","id":"r5","msg":"answer discarded","time":"2026-01-01T00:00:01.900Z"}',
	'{"name":"e3","id":"r5","msg":"request","time":"2026-01-01T00:00:02.000Z"}',
	'{"name":"e3","id":"r6","msg":"answer discarded","time":"2026-01-01T00:00:01.950Z"}',
	'{"name":"e1","msg":"ready","time":"2026-01-01T00:00:03.000Z"}',
	'not a log line',
	'{"name":"e1","msg":"cut o',
].join('\n');

describe('getRelevantLines', () => {
	function doTest(id: string, expected: readonly string[]): void {
		expect(getRelevantLines(readLogLines(text), id).map(line => `${line.name} ${line.msg}`)).toEqual([...expected]);
	}

	test('shows a request with the earlier lines of its entry', () => {
		doTest('r7', ['e1 zones out of service', 'e1 request']);
	});
	test('shows the discarded answers of a request once, and those of others as context', () => {
		doTest('r5', ['e3 answer discarded', 'e3 answer discarded', 'e3 request']);
	});
	test('shows nothing for a request without a log line', () => {
		doTest('r9', []);
	});
});
