import {describe, test} from 'node:test';
import {expect} from 'earl';
import {renderResult} from './report.js';
import {runSoak} from './run.js';

const seconds = 45;
const seed = 1;
const logFolder = `target/soak/${seed}`;

describe('fault soak', () => {
	test('breaks no rule in a short run', async () => {
		const result = await runSoak({
			seed, seconds, logFolder, lane: 2,
		});
		expect(result.violations.length === 0 ? '' : renderResult(result, `npm run soak -- --seconds ${seconds}`, logFolder)).toEqual('');
		expect(result.history.exchanges.length > 1000).toEqual(true);
	});
});
