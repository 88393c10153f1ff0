import {type IncomingMessage} from 'node:http';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {defaultDialect} from '../dialect.js';
import {getResponseHeaders} from './headers.js';

// Guards against hop-by-hop headers that are passed on because the value that names them is short.
describe('getResponseHeaders: headers that the Connection header names', () => {
	function doTest(connection: string, expected: readonly string[]): void {
		const rawHeaders = ['Connection', connection, 'X-Foo', '1', 'Content-Length', '2'];
		const response: Pick<IncomingMessage, 'rawHeaders' | 'headers'> = {rawHeaders, headers: {connection}};
		expect(getResponseHeaders(defaultDialect, response)).toEqual([...expected]);
	}

	test('are removed', () => {
		doTest('x-foo', ['Content-Length', '2']);
		doTest('close, X-Foo', ['Content-Length', '2']);
	});
	test('are passed on if it does not name them', () => {
		doTest('keep-alive', ['X-Foo', '1', 'Content-Length', '2']);
	});
	test('are passed on if they frame the message', () => {
		doTest('content-length', ['X-Foo', '1', 'Content-Length', '2']);
	});
});
