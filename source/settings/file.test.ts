import {Buffer} from 'node:buffer';
import {describe, test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {documentSchema} from '../configuration/index.js';
import {
	controlSettingsSchema, entrySettingsSchema, parseToml, readTomlFile, resolveSecurity,
} from './index.js';

const validDocument = `
[[zones]]
name = "north"

[[services]]
name = "stock"
`;

describe('parseToml on a document', () => {
	function doTest(text: string | Uint8Array, context: TestContext): void {
		const outcome = parseToml('document.toml', typeof text === 'string' ? Buffer.from(text) : text, documentSchema);
		expect(outcome.isOk ? ['ok'] : [...outcome.error]).toMatchSnapshot(context);
	}

	test('accepts a minimal document', t => {
		doTest(validDocument, t);
	});
	test('reports an unknown key', t => {
		doTest(`${validDocument}colour = "red"\n`, t);
	});
	test('reports an unknown key at the top level', t => {
		doTest(`colour = "red"\n${validDocument}`, t);
	});
	test('reports a wrong type', t => {
		doTest(`${validDocument}deadlineMilliseconds = "2 s"\n`, t);
	});
	test('reports a value out of range', t => {
		doTest(`${validDocument}deadlineMilliseconds = 1\n`, t);
	});
	test('reports a duplicate service', t => {
		doTest(`${validDocument}\n[[services]]\nname = "stock"\npath = "/other"\n`, t);
	});
	test('reports a route that is already used', t => {
		doTest(`${validDocument}\n[[services]]\nname = "other"\n`, t);
	});
	test('requires a zone in service', t => {
		doTest(validDocument.replace('"north"', '"north"\ninService = false'), t);
	});
	test('reports a missing table', t => {
		doTest('[[zones]]\nname = "north"\n', t);
	});
	test('reports the line of a TOML error', t => {
		doTest(`${validDocument}path = "/a\n`, t);
	});
	test('reports a duplicate key', t => {
		doTest(`${validDocument}name = "again"\n`, t);
	});
	test('requires UTF-8', t => {
		doTest(Uint8Array.from([0x61, 0xFF, 0xFE]), t);
	});
});

describe('readTomlFile', () => {
	function doTest(file: string, schema: typeof documentSchema | typeof controlSettingsSchema | typeof entrySettingsSchema, expected: readonly string[]): void {
		const outcome = readTomlFile(file, schema);
		expect(outcome.isOk ? [] : [...outcome.error]).toEqual([...expected]);
	}

	for (const name of ['kopano', 'muscat']) {
		test(`accepts the example files of ${name}`, () => {
			doTest(`examples/${name}/document.toml`, documentSchema, []);
			doTest(`examples/${name}/control.toml`, controlSettingsSchema, []);
			doTest(`examples/${name}/entry.toml`, entrySettingsSchema, []);
		});
	}

	test('reports a missing file', () => {
		doTest('examples/none.toml', documentSchema, ['examples/none.toml: no such file; check the path']);
	});
});

describe('resolveSecurity', () => {
	function doTest(host: string, expected: readonly string[]): void {
		const outcome = resolveSecurity({
			file: 'entry.toml', name: 'entry', security: {}, listenAddresses: [{host, port: 1}],
		});
		expect(outcome.isOk ? [] : [...outcome.error]).toEqual([...expected]);
	}

	test('allows loopback without keys', () => {
		doTest('127.0.0.1', []);
	});
	test('rejects other addresses without keys', () => {
		doTest('10.0.0.1', ['entry.toml: security: 10.0.0.1 is not a loopback address; set security.sharedKeyFile and security.operatorKeyFile']);
	});
});
