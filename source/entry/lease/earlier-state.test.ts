import {describe, test} from 'node:test';
import {expect} from 'earl';
import {type EarlierState, type Grant} from '../../lease/index.js';
import {createEarlierStateKeeper} from './earlier-state.js';

const termMilliseconds = 3000;
const current: EarlierState = {absent: [2], quarantined: ['f'], entries: 3};

function getGrant(keepsEarlier: boolean): Grant {
	return {
		kind: 'grant', sequence: 1, termMilliseconds, epoch: 1, revision: 0, isWhole: true, servers: [], version: 1, document: undefined, permits: [], duties: [], probeMilliseconds: 1000, quarantined: [], zonesOut: [], entries: 1, peersRevision: 0, peers: [],
		...(keepsEarlier ? {keepsEarlier} : {}),
	};
}

describe('createEarlierStateKeeper', () => {
	/** Records grants at the given times, and gets what the entry states after the last one. */
	function doTest(grants: ReadonlyArray<readonly [at: number, keepsEarlier: boolean]>, expected: EarlierState | undefined): void {
		let now = 0;
		const keeper = createEarlierStateKeeper({getCurrent: () => current, getTime: () => now});
		let kept: EarlierState | undefined;
		for (const [at, keepsEarlier] of grants) {
			now = at;
			kept = keeper.record(getGrant(keepsEarlier), at - 10);
		}

		expect([kept, keeper.get()]).toEqual([expected, expected]);
	}

	test('keeps nothing from a leader that does not ask for it, as those of earlier releases', () => {
		doTest([[100, false], [200, false]], undefined);
	});
	test('keeps what the earlier leader told', () => {
		doTest([[100, false], [1500, true]], current);
	});
	test('keeps nothing once the new leader knows it', () => {
		doTest([[100, false], [1500, true], [2000, false]], undefined);
	});
	test('keeps no server absent beyond the term, however often the leader changes', () => {
		doTest([[100, false], [1500, true], [2500, true], [3089, true]], current);
		doTest([[100, false], [1500, true], [2500, true], [3090, true]], {...current, absent: []});
	});
});
