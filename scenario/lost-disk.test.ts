import {readFileSync} from 'node:fs';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {parse} from './grammar.js';
import {runScenario} from './runner.js';

/** Holds just this scenario, since it is listed in KNOWN-RED.txt. */
describe('runScenario', () => {
	async function doTest(name: string): Promise<void> {
		const outcome = await runScenario(parse(readFileSync(`scenario/${name}.scenario`, 'utf8')));
		expect(outcome.violations).toEqual([]);
		expect(outcome.answered > 0).toEqual(true);
	}

	test('lost-disk holds', async () => doTest('lost-disk'));
});
