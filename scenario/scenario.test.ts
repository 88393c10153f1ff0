import {readFileSync} from 'node:fs';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {parse} from './grammar.js';
import {runScenario} from './runner.js';

describe('runScenario', () => {
	async function doTest(name: string): Promise<void> {
		const result = await runScenario(parse(readFileSync(`scenario/${name}.scenario`, 'utf8')));
		expect(result.violations).toEqual([]);
		expect(result.answered > 0).toEqual(true);
	}

	for (const name of [
		'basic',
		'cold',
		'control-restart-cold',
		'control-restart-warm',
		'crashing',
		'cut',
		'five-warm',
		'freeze',
		'isolated-leader',
		'kills',
		'race',
		'rolling',
		'spared-warm',
		'withdrawals',
	]) {
		test(`runs ${name} without violations`, async () => doTest(name));
	}
});

describe('parse', () => {
	function doTest(text: string, expectedLine: number): void {
		let reportedLine = 0;
		try {
			parse(text);
		} catch (error) {
			reportedLine = (error as {readonly location: {readonly start: {readonly line: number}}}).location.start.line;
		}

		expect(reportedLine).toEqual(expectedLine);
	}

	test('reports the line of a syntax error', () => {
		doTest('seed 1\nwait long\n', 2);
	});
	test('accepts comments and blank lines', () => {
		doTest('# nothing\n\nseed 1 # here\n', 0);
	});
});
