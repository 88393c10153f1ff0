import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createResponseReader, type ReadResponse} from './response-reader.js';

describe('createResponseReader', () => {
	/** Reads a text whole and byte by byte, and expects the same statuses and bodies. */
	function doTest(text: string, expected: ReadonlyArray<readonly [number, string | undefined]>, methods: readonly string[] = [], isInOrder = true): void {
		for (const parts of [[text], [...text]]) {
			const responses: ReadResponse[] = [];
			const reader = createResponseReader({
				getMethod: () => methods[responses.length],
				onResponse(response) {
					responses.push(response);
				},
			});
			for (const part of parts) {
				reader.receive(part);
			}

			reader.end(isInOrder);
			expect(responses.map(({status, body}) => [status, body] as const)).toEqual([...expected]);
		}
	}

	const first = 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none';
	const second = 'HTTP/1.1 502 Bad Gateway\r\ntransfer-encoding: chunked\r\n\r\n2\r\ntw\r\n1\r\no\r\n0\r\n\r\n';

	test('reads responses of all framings in order', () => {
		doTest(first + second + first, [[200, 'one'], [502, 'two'], [200, 'one']]);
		doTest(`HTTP/1.1 204 No Content\r\n\r\n${first}`, [[204, ''], [200, 'one']]);
		doTest(`HTTP/1.1 102 Processing\r\n\r\n${first}`, [[200, 'one']]);
		doTest(`${first}HTTP/1.1 200 OK\r\n\r\nthree`, [[200, 'one'], [200, 'three']]);
		doTest('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n', [[200, '']]);
	});

	test('reads no body in response to HEAD', () => {
		doTest(`HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n${first}`, [[200, ''], [200, 'one']], ['HEAD', 'GET']);
	});

	test('tells incomplete responses', () => {
		doTest(first.slice(0, -1), [[200, undefined]]);
		doTest(second.slice(0, -2), [[502, undefined]]);
		doTest('HTTP/1.1 200 OK\r\n\r\nthree', [[200, undefined]], [], false);
	});
});
