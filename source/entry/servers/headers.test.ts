import {type IncomingMessage} from 'node:http';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {defaultDialect} from '../dialect.js';
import {type Access} from '../../workspace/index.js';
import {getForwardedHeaders, getResponseHeaders} from './headers.js';

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

// Guards against keys that reach servers, and against workspaces that a caller claims to be.
describe('getForwardedHeaders: headers of workspaces', () => {
	const received = ['Guavadeck-Key', 'one', 'GUAVADECK-WORKSPACE', 'shop', 'X-Foo', '1'];

	function doTest(access: Access, expected: readonly string[]): void {
		const incoming = {
			rawHeaders: received, headers: {host: 'a'}, method: 'GET', socket: {},
		} as unknown as IncomingMessage;
		const headers = getForwardedHeaders({
			dialect: defaultDialect, incoming, requestId: 'r', access, server: 's', remainingMilliseconds: 5, body: undefined, isStreamed: false,
		});
		expect(headers.slice(headers.indexOf('r') + 1)).toEqual([...expected]);
	}

	test('name the workspace of the key and hide the key', () => {
		doTest({kind: 'granted', workspace: {name: 'clinic', keyDigests: []}, digest: ''}, ['guavadeck-workspace', 'clinic', 'X-Foo', '1']);
	});
	test('are removed from requests without a known key', () => {
		doTest({kind: 'anonymous'}, ['X-Foo', '1']);
	});
	test('are passed on where the document has no workspaces', () => {
		doTest({kind: 'open'}, received);
	});
});
