import {readFileSync} from 'node:fs';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {parse} from './grammar.js';
import {runScenario} from './runner.js';

/** Contains only this scenario, because files that KNOWN-RED.txt lists are excluded from CI as a whole. */
describe('runScenario', () => {
	async function doTest(name: string): Promise<void> {
		const result = await runScenario(parse(readFileSync(`scenario/${name}.scenario`, 'utf8')));
		expect(result.violations).toEqual([]);
		expect(result.answered > 0).toEqual(true);
	}

	test('runs servers without violations', async () => doTest('servers'));
});
