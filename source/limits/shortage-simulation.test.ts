import {describe, test} from 'node:test';
import {expect} from 'earl';
import {simulateShortage, type EntryPolicy, type ShortageResult} from '../../stand-in/model/shortage.js';
import {defaultAdmission} from '../choice/index.js';
import {createElapsedEstimate, createShortageEstimate} from './index.js';

const entries = 10;
const servers = 10;

/** Requests a second that the servers process when they are filled to the knee: 4 of 6 slots, and a service time of 77 ms, which slow hosts double on average. */
const capacityPerSecond = servers * 4 / 0.077 / 2;

/** Creates a baseline policy, which fills every slot at any load and lets refused callers retry after a time independent of the shortage. */
function createBaselinePolicy(): EntryPolicy {
	return {
		getAdmission: () => defaultAdmission,
		recordPlacement() {
			// The policy does not depend on placements.
		},
		getRetryAfterMilliseconds: (_now, jitter) => 80 + (140 * jitter),
	};
}

/** Creates the policy that entries use, which adapts to the shortage. */
function createEntryPolicy(): EntryPolicy {
	const shortage = createShortageEstimate();
	const elapsed = createElapsedEstimate();
	return {
		getAdmission: (wait, target, now) => ({...defaultAdmission, isLate: elapsed.estimate(wait, now) > target / 2, shortage: shortage.getShortage()}),
		recordPlacement: shortage.recordPlacement,
		getRetryAfterMilliseconds: shortage.getRetryAfterMilliseconds,
	};
}

describe('placement during a shortage of servers', () => {
	/** Simulates a load, as a multiple of the servers' capacity, and checks that at least as many requests are answered within the target as with the baseline policy. */
	function doTest(seed: number, load: number): void {
		const simulate = (create: () => EntryPolicy): ShortageResult => simulateShortage({
			seed, entries, servers, requestsPerSecond: capacityPerSecond * load, arrivalMilliseconds: 6000, createPolicy: create,
		});
		const baseline = simulate(createBaselinePolicy);
		const adaptive = simulate(createEntryPolicy);
		expect(adaptive.requests).toEqual(baseline.requests);
		expect(adaptive.withinTarget >= baseline.withinTarget).toEqual(true);
	}

	test('answers at least as many requests within the target at half and full load', () => {
		doTest(101, 0.5);
		doTest(102, 1);
	});
	test('answers at least as many requests within the target at twice and three times the capacity', () => {
		doTest(103, 2);
		doTest(104, 3);
	});
});
