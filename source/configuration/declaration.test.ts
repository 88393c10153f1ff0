import {describe, test} from 'node:test';
import {expect} from 'earl';
import {getStoredCopy} from '../../stand-in/stored-copy.js';
import {createRandom} from '../randomness/index.js';
import {createRegister, documentSchema, type ConfigurationCommand} from './index.js';

function declare(version: number, source = `text of ${version}`): ConfigurationCommand {
	const document = documentSchema.parse({
		zones: [{name: 'north'}], services: [{name: 'stock'}], routes: [{
			name: source, parts: [{service: 'stock', weight: 1}], isIdempotent: true, timeoutMilliseconds: 1000, targetMilliseconds: 200, attempts: 2,
		}],
	});
	return {
		kind: 'declare', environment: 'production', version, document, source, author: 'operator', at: 0,
	};
}

describe('createRegister: declarations', () => {
	function doTest(commands: readonly ConfigurationCommand[], expected: readonly string[], source: string): void {
		let register = createRegister();
		const results: string[] = commands.map(command => {
			const result = register.apply(command);
			const snapshot = getStoredCopy(register.takeSnapshot());
			register = createRegister();
			register.restore(snapshot);
			return result.kind;
		});
		expect(results).toEqual([...expected]);
		expect(register.getCurrent('production').map(version => version.source ?? '').unwrapOr('')).toEqual(source);
	}

	test('puts the highest version in force', () => {
		doTest([declare(7), declare(12), declare(9)], ['accepted', 'accepted', 'superseded'], 'text of 12');
	});
	test('accepts version 0 as the first, and only then', () => {
		doTest([declare(0), declare(0, 'other'), declare(1), declare(0)], ['accepted', 'superseded', 'accepted', 'superseded'], 'text of 1');
		doTest([declare(0), declare(0, 'other')], ['accepted', 'superseded'], 'text of 0');
	});
	test('ignores different content under the current version', () => {
		doTest([declare(7), declare(7, 'other')], ['accepted', 'superseded'], 'text of 7');
	});
	test('never returns to a lower version when operators race and resend', () => {
		const random = createRandom(9);
		const register = createRegister();
		let highestVersion = 0;
		for (let step = 0; step < 500; step++) {
			const version = Math.max(1, highestVersion + Math.floor(random() * 9) - 5);
			register.apply(declare(version));
			highestVersion = Math.max(highestVersion, version);
			expect(register.getCurrentNumber('production')).toEqual(highestVersion);
		}
	});
});
