import {describe, test} from 'node:test';
import {expect} from 'earl';
import {parseArguments, type ScenarioArguments} from './arguments.js';

// Guards against files that are left out without a word because of where the seed stands.
describe('parseArguments', () => {
	function doTest(values: readonly string[], expected: ScenarioArguments): void {
		expect(parseArguments(values)).toEqual(expected);
	}

	function doErrorTest(values: readonly string[], message: string): void {
		expect(() => parseArguments(values)).toThrow(message);
	}

	test('takes all files, wherever the seed stands', () => {
		doTest(['a.scenario', 'b.scenario'], {files: ['a.scenario', 'b.scenario'], seed: undefined});
		for (const values of [['--seed', '7', 'a.scenario', 'b.scenario'], ['a.scenario', '--seed', '7', 'b.scenario'], ['a.scenario', 'b.scenario', '--seed=7']]) {
			doTest(values, {files: ['a.scenario', 'b.scenario'], seed: 7});
		}
	});
	test('refuses arguments that name nothing to run', () => {
		doErrorTest([], 'no scenario file given; usage: npm run scenario -- FILE.scenario… [--seed <n>]');
		doErrorTest(['a.toml'], 'a.toml: not a scenario; name files that end in .scenario');
		doErrorTest(['a.scenario', '--seed', 'x'], '--seed: "x" is no number; give a whole number');
	});
});
