import {describe, test} from 'node:test';
import {expect} from 'earl';
import {renderResult} from './report.js';
import {runSoak} from './run.js';

describe('fault soak', () => {
	async function doTest(seed: number, seconds: number, isPlain: boolean): Promise<void> {
		const logFolder = `target/soak/${seed}`;
		const result = await runSoak({
			seed, seconds, logFolder, lane: 2, isPlain,
		});
		expect(result.violations.length === 0 ? '' : renderResult(result, `npm run soak -- --seconds ${seconds}${isPlain ? ' --plain' : ''}`, logFolder)).toEqual('');
		expect(result.history.exchanges.length > 1000).toEqual(true);
	}

	test('breaks no rule in a short run', async () => {
		await doTest(1, 45, true);
	});

	test('breaks no rule in a short run with faults between machines, new versions, contested orders and pipelined requests', async () => {
		await doTest(206, 20, false);
	});
});
