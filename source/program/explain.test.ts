import {describe, test} from 'node:test';
import {expect} from 'earl';
import {getRelevantLines, readLogLines} from './explain.js';

const text = [
	'  1.5 e1 {"name":"e1","msg":"zones out of service","time":"2026-01-01T00:00:01.000Z"}',
	'{"name":"e2","msg":"zones out of service","time":"2026-01-01T00:00:01.500Z"}',
	'{"name":"e1","id":"r7","msg":"request","time":"2026-01-01T00:00:02.000Z"}',
	'{"name":"e1","id":"r8","msg":"request","time":"2026-01-01T00:00:02.000Z"}',
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
	test('shows nothing for a request without a log line', () => {
		doTest('r9', []);
	});
});
