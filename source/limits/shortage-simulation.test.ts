import {describe, test} from 'node:test';
import {expect} from 'earl';
import {replayShortage, type EntryPolicy, type ShortageOutcome} from '../../stand-in/model/shortage.js';
import {defaultAdmission} from '../choice/index.js';
import {createElapsedEstimate, createShortageEstimate} from './index.js';

const entries = 10;
const servers = 10;

/** Requests a second that the servers answer when they are filled to the knee: 4 of 6 slots, 77 ms of work, doubled by slow hosts. */
const capacityPerSecond = servers * 4 / 0.077 / 2;

/** Creates a policy that fills every slot at any load and lets callers return after a time independent of the shortage. */
function createFillingPolicy(): EntryPolicy {
	return {
		getAdmission: () => defaultAdmission,
		placed() {
			// The policy does not depend on placements.
		},
		getReturnMilliseconds: (_now, jitter) => 80 + (140 * jitter),
	};
}

/** Creates the policy of an entry. */
function createPolicy(): EntryPolicy {
	const shortage = createShortageEstimate();
	const elapsed = createElapsedEstimate();
	return {
		getAdmission: (wait, target, now) => ({...defaultAdmission, isLate: elapsed.estimate(wait, now) > target / 2, shortage: shortage.getShortage()}),
		placed: shortage.recordPlacement,
		getReturnMilliseconds: shortage.getRetryAfterMilliseconds,
	};
}

describe('placement while servers are short', () => {
	/** Replays a load, as a multiple of the servers' capacity, and checks that no fewer requests are answered in time than by filling every slot. */
	function doTest(seed: number, load: number): void {
		const play = (create: () => EntryPolicy): ShortageOutcome => replayShortage({
			seed, entries, servers, requestsPerSecond: capacityPerSecond * load, milliseconds: 6000, createPolicy: create,
		});
		const filling = play(createFillingPolicy);
		const decided = play(createPolicy);
		expect(decided.asked).toEqual(filling.asked);
		expect(decided.inTarget >= filling.inTarget).toEqual(true);
	}

	test('answers no fewer requests in time at half and full load', () => {
		doTest(101, 0.5);
		doTest(102, 1);
	});
	test('answers no fewer requests in time at twice and three times the load', () => {
		doTest(103, 2);
		doTest(104, 3);
	});
});
