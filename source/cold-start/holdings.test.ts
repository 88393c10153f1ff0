import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../randomness/index.js';
import {
	acknowledge, getAllocatedSlots, getHeldSlots, recordConfirmation, recordGrant, recordInFlight, recordKeptGrant, switchProcess, type Holding,
} from './holding.js';
import {createHoldings} from './holdings.js';

const changeCount = 400;

describe('createHoldings', () => {
	/** Changes what four entries hold at random, and checks the sums after each change. */
	function doTest(seed: number): void {
		const random = createRandom(seed);
		const holdings = createHoldings();

		function getNumber(limit: number): number {
			return Math.floor(random() * limit);
		}

		function getChange(now: number): (holding: Holding) => void {
			const changes: ReadonlyArray<(holding: Holding) => void> = [
				holding => {
					recordGrant(holding, getNumber(20), getNumber(6));
				},
				holding => {
					recordKeptGrant(holding, getNumber(20), getNumber(6));
				},
				holding => {
					recordConfirmation(holding, getNumber(20), getNumber(6));
				},
				holding => {
					recordInFlight(holding, getNumber(2) === 0 ? 'one' : 'two', getNumber(8));
				},
				holding => {
					switchProcess(holding, getNumber(2) === 0 ? 'one' : 'two', getNumber(20));
				},
				holding => {
					acknowledge(holding, 'one', getNumber(20));
				},
				holding => {
					holding.releasedAt = getNumber(2) === 0 ? undefined : now + getNumber(10);
				},
			];
			return changes[getNumber(changes.length)]!;
		}

		for (let now = 0; now < changeCount; now++) {
			const act = getNumber(4) === 0 ? holdings.changeKnown : holdings.change;
			act(`e${getNumber(4)}`, getChange(now));
			holdings.removeReleased(now);
			const all = [...holdings.getAll()];
			expect(all.filter(({releasedAt}) => releasedAt !== undefined && releasedAt <= now)).toEqual([]);
			expect([holdings.getHeld(), holdings.getAllocated()]).toEqual([
				all.reduce((sum, holding) => sum + getHeldSlots(holding), 0),
				all.reduce((sum, holding) => sum + getAllocatedSlots(holding), 0),
			]);
		}
	}

	test('keeps the sums of what entries hold through all changes', () => {
		for (let seed = 1; seed <= 20; seed++) {
			doTest(seed);
		}
	});
});
