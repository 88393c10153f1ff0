import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createPermitSimulation, termMilliseconds} from './permit-simulation.js';

const renewMilliseconds = 200;
const changeAt = 5000;

describe('createLeadership: slots of one server that several entries keep', () => {
	/** Lets entries renew one after the other while the leader changes, and gets the fewest slots that they had together from then on. */
	function play(entryCount: number): number {
		const simulation = createPermitSimulation({
			slotServers: 1, rateServers: 0, initialSlots: 5, entries: Array.from({length: entryCount}, () => true), deadlineMilliseconds: 500,
		});
		const server = simulation.slotServers[0]!;
		let fewest = Number.POSITIVE_INFINITY;

		function renewAll(now: number): void {
			for (const [index, entry] of simulation.entries.entries()) {
				if (now % renewMilliseconds === index * 30) {
					simulation.renew(entry, [{
						host: now < changeAt ? 0 : 1, renewal: 0, decision: 0, grant: 0,
					}]);
				}
			}
		}

		simulation.startLeader(0);
		simulation.runUntil(changeAt, renewAll);
		simulation.startLeader(1);
		simulation.runUntil(changeAt + (3 * termMilliseconds), now => {
			renewAll(now);
			fewest = Math.min(fewest, simulation.entries.reduce((sum, entry) => sum + entry.getUsableSlots(server, now), 0));
		});
		return fewest;
	}

	function doTest(entryCount: number, expected: number): void {
		expect(play(entryCount)).toEqual(expected);
	}

	test('are not taken from one before the others have confirmed theirs', () => {
		doTest(2, 5);
		doTest(3, 5);
		doTest(5, 5);
	});
});
