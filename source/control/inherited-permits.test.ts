import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createPermitSimulation, termMilliseconds, type PermitSimulation} from './permit-simulation.js';
import {type SimulatedEntry} from './simulated-entry.js';

const renewMilliseconds = 200;
const deadlineMilliseconds = 500;
const changeAt = 5000;
const slotServers = 6;
const rateServers = 3;

/** Time after the change of the leader until which permits of the earlier one may be in use. */
const withheldMilliseconds = termMilliseconds + deadlineMilliseconds;

type Scene = {
	/** Whether each entry is of a release that reports what it holds. */
	readonly entries: readonly boolean[];
	/** Entries that the second leader does not hear. */
	readonly silent?: readonly number[];
	/** Entries that start when the leader changes. */
	readonly late?: readonly number[];
	/** Time after the change at which the permits are read. */
	readonly readAfter: number;
};

type Permits = {readonly slots: number; readonly rates: number};

/** Lets entries renew regularly while the leader changes, and gets the permits that each entry has. */
function play(scene: Scene): readonly Permits[] {
	const simulation = createPermitSimulation({
		slotServers, rateServers, initialSlots: 1, entries: scene.entries, deadlineMilliseconds,
	});
	simulation.startLeader(0);

	function renewAll(now: number): void {
		for (const [index, entry] of simulation.entries.entries()) {
			const isSilent = now < changeAt ? scene.late?.includes(index) : scene.silent?.includes(index);
			if (isSilent !== true && now % renewMilliseconds === index * 20) {
				simulation.renew(entry, [{
					host: now < changeAt ? 0 : 1, renewal: 10, decision: 20, grant: 10,
				}]);
			}
		}
	}

	simulation.runUntil(changeAt, renewAll);
	simulation.startLeader(1);
	simulation.runUntil(changeAt + scene.readAfter, renewAll);
	return simulation.entries.map(entry => getPermits(simulation, entry));
}

function getPermits(simulation: PermitSimulation, entry: SimulatedEntry): Permits {
	return {
		slots: simulation.slotServers.reduce((sum, server) => sum + entry.getUsableSlots(server, simulation.getNow()), 0),
		rates: simulation.rateServers.filter(server => entry.hasRate(server, simulation.getNow())).length,
	};
}

describe('createLeadership: permits for cold servers after a change of the leader', () => {
	function doTest(scene: Scene, expected: readonly Permits[]): void {
		expect(play(scene)).toEqual([...expected]);
	}

	const even: Permits = {slots: 2, rates: 3};
	const none: Permits = {slots: 0, rates: 0};

	test('are kept without a gap while all entries report', () => {
		for (const readAfter of [0, 50, 150, renewMilliseconds, 2 * renewMilliseconds, termMilliseconds, withheldMilliseconds + renewMilliseconds]) {
			doTest({entries: [true, true, true], readAfter}, [even, even, even]);
		}
	});
	test('of an entry that the leader does not hear are granted to nobody until they can be in use no longer', () => {
		const scene: Scene = {entries: [true, true, true], silent: [2], readAfter: termMilliseconds - renewMilliseconds};
		doTest(scene, [even, even, even]);
		doTest({...scene, readAfter: withheldMilliseconds}, [even, even, none]);
		doTest({...scene, readAfter: withheldMilliseconds + renewMilliseconds}, [{slots: 3, rates: 3}, {slots: 3, rates: 3}, none]);
	});
	test('are handed over to an entry that has none', () => {
		doTest({entries: [true, true, true], late: [2], readAfter: 4 * renewMilliseconds}, [{slots: 2, rates: 3}, {slots: 2, rates: 3}, {slots: 2, rates: 0}]);
	});
	test('are withheld from entries that do not report what they hold', () => {
		doTest({entries: [false, false, false], readAfter: renewMilliseconds}, [none, none, none]);
		doTest({entries: [true, false, true], readAfter: 2 * renewMilliseconds}, [even, none, even]);
		doTest({entries: [true, false, true], readAfter: withheldMilliseconds + (2 * renewMilliseconds)}, [even, even, even]);
	});
});

describe('createLeadership: a decision that comes after the leader was replaced', () => {
	/** Lets an entry keep its permit at the next leader while the earlier one, which lost it, decides on a renewal of another entry. */
	function play(): readonly number[] {
		const simulation = createPermitSimulation({
			slotServers: 1, rateServers: 0, initialSlots: 2, entries: [true, true], deadlineMilliseconds: 40,
		});
		const [first, second] = simulation.entries as readonly [SimulatedEntry, SimulatedEntry];
		const server = simulation.slotServers[0]!;
		const usableSlots: number[] = [];
		simulation.startLeader(0);
		simulation.runUntil(2890, now => {
			if (now <= 2000 && now % 100 === 0) {
				for (const entry of [first, second]) {
					simulation.renew(entry, [{
						host: 0, renewal: 0, decision: 0, grant: 0,
					}]);
				}
			}
		});
		simulation.renew(second, [{
			host: 0, renewal: 0, decision: 700, grant: 0,
		}]);
		simulation.runUntil(2920, () => undefined);
		simulation.startLeader(1);
		simulation.runUntil(3800, now => {
			if (now % 20 === 0) {
				simulation.renew(first, [{
					host: 1, renewal: 0, decision: 0, grant: 0,
				}]);
			}

			usableSlots.push(first.getUsableSlots(server, now) + second.getUsableSlots(server, now));
		});
		return usableSlots;
	}

	test('grants nothing that another entry keeps', () => {
		const usableSlots = play();
		expect([Math.max(...usableSlots), usableSlots.at(-1)]).toEqual([2, 2]);
	});
});
