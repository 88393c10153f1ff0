import {describe, test} from 'node:test';
import {expect} from 'earl';
import {withSingleHost} from '../../stand-in/single-host.js';
import {documentSchema, type ConfigurationCommand} from '../configuration/index.js';
import {type ControlResponse} from './message.js';
import {isStorable} from './storable-command.js';

const half = '🎉'.slice(0, 1);

describe('isStorable', () => {
	function doTest(value: unknown, expected: boolean): void {
		expect(isStorable({list: [{value}]})).toEqual(expected);
	}

	test('accepts what the disk gives back', () => {
		for (const value of ['', 'é🎉\0\uFEFF\uFFFD', 'a'.repeat(140_000), 0, -0, 1.5, 2 ** 60, true, undefined]) {
			doTest(value, true);
		}
	});
	test('refuses a text of any length with half of a surrogate pair', () => {
		for (const length of [0, 10, 20, 70, 300]) {
			doTest(`${'a'.repeat(length)}${half}`, false);
		}
	});
	test('refuses a name with half of a surrogate pair', () => {
		doTest({[half]: 1}, false);
	});
});

// Guards against a leader that acknowledges a version which its own snapshot cannot give back.
describe('the leader, for a configuration that cannot be stored as it is', () => {
	const document = documentSchema.parse({zones: [{name: 'a'}], services: [{name: 'stock'}]});

	function declare(version: number, source: string): ConfigurationCommand {
		return {
			kind: 'declare', environment: 'production', version, document, source, author: 'ann', at: 1,
		};
	}

	async function doTest(command: ConfigurationCommand, expectedKind: ControlResponse['kind'], expectedVersion: number): Promise<void> {
		await withSingleHost(async ({handler, machine}) => {
			await handler.handle({kind: 'configure', command: declare(1, 'first')});
			const {kind} = await handler.handle({kind: 'configure', command});
			expect([kind, machine.register.getCurrentNumber('production')]).toEqual([expectedKind, expectedVersion]);
		});
	}

	test('refuses it and keeps the version in force', async () => doTest(declare(2, half), 'notStorable', 1));
	test('accepts any other', async () => doTest(declare(2, 'second 🎉'), 'configured', 2));
});
