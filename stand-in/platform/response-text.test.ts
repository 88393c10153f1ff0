import {describe, test} from 'node:test';
import {expect} from 'earl';
import {readResponses, type Ending} from './response-text.js';

describe('readResponses', () => {
	function doTest(text: string, ending: Ending, expected: ReadonlyArray<readonly [status: number, body: string | undefined]>): void {
		expect(readResponses(text, ending).map(({status, body}) => [status, body])).toEqual(expected.map(([status, body]) => [status, body]));
	}

	const head = 'HTTP/1.1 200 OK\r\n';

	test('reads bodies with a length, and the response after them', () => {
		doTest(`${head}Content-Length: 2\r\n\r\nab${head}Content-Length: 0\r\n\r\n`, 'open', [[200, 'ab'], [200, '']]);
	});
	test('takes a body that is shorter than its length for incomplete', () => {
		doTest(`${head}Content-Length: 3\r\n\r\nab`, 'ordered', [[200, undefined]]);
	});
	test('reads chunks with extensions and trailers', () => {
		doTest(`${head}Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nab\r\n0\r\nX-A: b\r\n\r\n`, 'open', [[200, 'ab']]);
	});
	test('takes chunks without the end of the trailers for incomplete', () => {
		doTest(`${head}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-A: b\r\n`, 'ordered', [[200, undefined]]);
	});
	test('ends a body without a length at a close in order, not at a reset', () => {
		doTest(`${head}\r\nab`, 'ordered', [[200, 'ab']]);
		doTest(`${head}\r\nab`, 'reset', [[200, undefined]]);
	});
	test('skips informational responses, and empty lines before a head', () => {
		doTest(`HTTP/1.1 102 Processing\r\n\r\n\r\n${head}Content-Length: 0\r\n\r\n`, 'open', [[200, '']]);
	});
});
