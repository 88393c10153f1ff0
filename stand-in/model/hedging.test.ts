import {describe, test} from 'node:test';
import {expect} from 'earl';
import {
	ledgerWorkload, replayHedging, type HedgingPolicy, type HedgingReplayResult, type Workload,
} from './hedging.js';

const entries = 20;
const ratio = 0.05;

/** Hedges that each entry may have saved when the measurement begins. */
const savedHedges = 3;

describe('replayHedging', () => {
	async function replay(load: number, policy: HedgingPolicy, changes: Partial<Workload> = {}): Promise<HedgingReplayResult> {
		return replayHedging({
			seed: 1, entries, load, workload: {...ledgerWorkload, ...changes}, policy, arrivalMilliseconds: 14_000, measuredFromMilliseconds: 6000,
		});
	}

	test('hedges within the ratio of all entries together, and misses fewer targets than without hedges', async () => {
		const none = await replay(0.3, {ratio: 0});
		const hedged = await replay(0.3, {ratio});
		expect(none.hedgeShare).toEqual(0);
		expect([hedged.hedgeShare > 0, hedged.hedgeShare <= ratio + (savedHedges * entries / hedged.requests)]).toEqual([true, true]);
		expect(hedged.missedShare < none.missedShare).toEqual(true);
	});
	test('serves requests that a server never answers', async () => {
		const none = await replay(0.3, {ratio: 0}, {lostShare: 0.01});
		const hedged = await replay(0.3, {ratio}, {lostShare: 0.01});
		expect(hedged.refused < none.refused / 4).toEqual(true);
	});
	test('hedges hardly any request when servers are nearly used up', async () => {
		const hedged = await replay(0.9, {ratio});
		expect(hedged.hedgeShare < 0.01).toEqual(true);
	});
});
