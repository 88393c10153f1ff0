/**
 * Guards against thumbnails that wait behind master files, against master files that are all late because too many share a link, and
 * against memory that grows with their number.
 */
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {
	getQuantile, getShareInTime, replayArchive, targetMilliseconds,
} from '../../stand-in/model/archive.js';

/** Bound of what master files may add to the 99th percentile of thumbnails, in milliseconds. */
const maximumAddedMilliseconds = 50;

/** Bound of the memory of one entry for bodies: what a link of 16 Mbit/s carries within the target. */
const maximumHeldBytes = targetMilliseconds * 16 * 125;

describe('createLink in a replay of an archive', () => {
	/** Replays with and without paced links, and checks delays, memory and the share of master files in time. */
	function doTest(seed: number): void {
		const quiet = replayArchive({seed, isPaced: true, hasMasters: false});
		const paced = replayArchive({seed, isPaced: true, hasMasters: true});
		const unpaced = replayArchive({seed, isPaced: false, hasMasters: true});
		const addedMilliseconds = getQuantile(paced.delays, 0.99) - getQuantile(quiet.delays, 0.99);
		expect(addedMilliseconds < maximumAddedMilliseconds).toEqual(true);
		// The replay must be one in which master files delay thumbnails where nothing paces them.
		expect(getQuantile(unpaced.delays, 0.99) > maximumAddedMilliseconds).toEqual(true);
		expect(getShareInTime(paced) > getShareInTime(unpaced)).toEqual(true);
		expect(paced.times.length).toEqual(paced.masters);
		expect(paced.maximumHeldBytes < maximumHeldBytes).toEqual(true);
	}

	for (const seed of [1, 2, 3, 4]) {
		test(`adds little to thumbnails, and serves more master files in time (seed ${seed})`, () => {
			doTest(seed);
		});
	}
});
