import {readFileSync} from 'node:fs';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {parse} from './grammar.js';
import {runScenario} from './runner.js';

describe('runScenario: all control hosts killed at once', () => {
	async function doTest(name: string): Promise<void> {
		const outcome = await runScenario(parse(readFileSync(`scenario/${name}.scenario`, 'utf8')));
		expect(outcome.violations).toEqual([]);
		expect(outcome.answered > 0).toEqual(true);
	}

	test('control-restart holds', async () => doTest('control-restart'));
});
