import {describe, test} from 'node:test';
import {expect} from 'earl';
import {replayShortage, type EntryPolicy, type ShortageOutcome} from '../../stand-in/model/shortage.js';
import {defaultAdmission} from '../choice/index.js';
import {createElapsedEstimate, createShortageEstimate} from './index.js';

const entries = 10;
const servers = 10;

/** Requests a second that the servers answer when they are filled to the knee: 4 of 6 slots, 77 ms, twice that by slow hosts. */
const capacityPerSecond = servers * 4 / 0.077 / 2;

/** Fills every slot whatever the load, and lets callers return after the same time always. */
function createFillingPolicy(): EntryPolicy {
	return {
		getAdmission: () => defaultAdmission,
		placed() {
			// It learns nothing.
		},
		getReturnMilliseconds: (_now, draw) => 80 + (140 * draw),
	};
}

/** Decides as an entry does. */
function createPolicy(): EntryPolicy {
	const pressure = createShortageEstimate();
	const elapsed = createElapsedEstimate();
	return {
		getAdmission: (wait, target, now) => ({...defaultAdmission, isLate: elapsed.estimate(wait, now) > target / 2, shortage: pressure.getShortage()}),
		placed: pressure.recordPlacement,
		getReturnMilliseconds: pressure.getRetryAfterMilliseconds,
	};
}

describe('placement while servers are short', () => {
	/** Replays a load, as a multiple of what the servers can do; no fewer requests are answered in time than by filling every slot. */
	function doTest(seed: number, load: number): void {
		const play = (create: () => EntryPolicy): ShortageOutcome => replayShortage({
			seed, entries, servers, requestsPerSecond: capacityPerSecond * load, milliseconds: 6000, createPolicy: create,
		});
		const filling = play(createFillingPolicy);
		const decided = play(createPolicy);
		expect(decided.asked).toEqual(filling.asked);
		expect(decided.inTarget >= filling.inTarget).toEqual(true);
	}

	test('answers no fewer in time at half and the whole of the load', () => {
		doTest(101, 0.5);
		doTest(102, 1);
	});
	test('answers no fewer in time at twice and three times the load', () => {
		doTest(103, 2);
		doTest(104, 3);
	});
});
