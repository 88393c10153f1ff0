/** Hedges of an entry whose own loop was busy. */
import {performance} from 'node:perf_hooks';
import {setImmediate} from 'node:timers/promises';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {startTrial} from '../program/trial.js';

/** Requests that earn a budget for hedges, 0.05 each. */
const earningRequests = 100;
const requests = 5;
const turnsUntilServed = 40;
const blockedMilliseconds = 200;

function block(milliseconds: number): void {
	const until = performance.now() + milliseconds;
	while (performance.now() < until) {
		// The loop is held, as by other work of the process.
	}
}

async function getAnswer(url: string): Promise<void> {
	const response = await fetch(url);
	await response.arrayBuffer();
}

async function getHedges(adminPort: number): Promise<number> {
	const response = await fetch(`http://127.0.0.1:${adminPort}/metrics`);
	const text = await response.text();
	const line = text.split('\n').find(metric => metric.startsWith('guavadeck_attempts_total') && metric.includes('hedge'));
	return Number(line?.split(' ').at(-1) ?? 0);
}

describe('the hedges of an entry', () => {
	async function doTest(expected: number): Promise<void> {
		const trial = await startTrial(0);
		const url = `http://127.0.0.1:${trial.callersPort}/catalogue`;
		for (let request = 0; request < earningRequests; request++) {
			await getAnswer(url);
		}

		const before = await getHedges(trial.adminPort);
		for (let request = 0; request < requests; request++) {
			const answer = getAnswer(url);
			while (trial.getInFlight() === 0) {
				await setImmediate();
			}

			for (let turn = 0; turn < turnsUntilServed; turn++) {
				await setImmediate();
			}

			block(blockedMilliseconds);
			await answer;
		}

		const after = await getHedges(trial.adminPort);
		await trial.stop();
		expect(after - before).toEqual(expected);
	}

	test('are not sent beside an answer that has arrived and was not read yet', {timeout: 20_000}, async () => doTest(0));
});
