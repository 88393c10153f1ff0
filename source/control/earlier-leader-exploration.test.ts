import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../randomness/index.js';
import {createPermitSimulation, type PermitSimulation} from './permit-simulation.js';
import {type SimulatedEntry} from './simulated-entry.js';

const renewMilliseconds = 100;

/** Time until which requests succeed, so that the server can carry all its slots. */
const workUntil = 3800;

/** Time from which entries may fall silent, messages are lost and the server changes, until the leader does. */
const unrestAt = 4000;

/** Time after the change of the leader at which the entries that it hears have what it grants, and silent ones still have a lease. */
const settledAfter = 500;

type Played = {
	/** Slots that the earlier leader and the server know it can carry. */
	readonly limit: number;
	/** Slots of the entries that the new leader hears. */
	readonly heard: number;
	/** Slots of those that it doesn't hear. */
	readonly silent: number;
	/** Whether the server carries less than before. */
	readonly isReduced: boolean;
	/** Whether the new leader hears all entries. */
	readonly areAllHeard: boolean;
};

function getSlots(simulation: PermitSimulation, entries: readonly SimulatedEntry[]): number {
	const server = simulation.slotServers[0]!;
	return entries.reduce((sum, entry) => sum + entry.getUsableSlots(server, simulation.getNow()), 0);
}

/** Lets the leader change while entries fall silent, and while the server sheds requests and announces fewer slots. */
function play(seed: number): Played {
	const random = createRandom(seed);
	const entryCount = 2 + Math.floor(random() * 4);
	const simulation = createPermitSimulation({
		slotServers: 1, rateServers: 0, initialSlots: 1, entries: Array.from({length: entryCount}, () => true), deadlineMilliseconds: 40,
	});
	const server = simulation.slotServers[0]!;
	const drawAt = (): number => unrestAt + Math.floor(random() * 300);
	const changeAt = drawAt();
	const silentFrom = new Map(simulation.entries.map(entry => [entry, random() < 0.3 ? drawAt() : Number.POSITIVE_INFINITY]));
	const heard = simulation.entries.filter(entry => silentFrom.get(entry) === Number.POSITIVE_INFINITY);
	const shedTimes = new Map(heard.map(entry => [entry, random() < 0.2 ? drawAt() : Number.POSITIVE_INFINITY]));
	const fewerSlots = 1 + Math.floor(random() * 6);
	const announceAt = random() < 0.4 ? drawAt() : Number.POSITIVE_INFINITY;

	function renew(entry: SimulatedEntry, host: number, isLossy: boolean): void {
		const draw = (): number | undefined => isLossy && random() < 0.2 ? undefined : random() * 20;
		simulation.renew(entry, [{
			host, renewal: draw(), decision: 0, grant: draw(),
		}]);
	}

	function step(now: number, host: number): void {
		for (const [index, entry] of simulation.entries.entries()) {
			if (now < workUntil) {
				entry.startRequest(server, 20, now);
			}

			if (now < changeAt && now >= shedTimes.get(entry)!) {
				entry.recordShed(server);
				shedTimes.delete(entry);
			}

			if (now % renewMilliseconds === index * 10 && now < silentFrom.get(entry)!) {
				renew(entry, host, now >= unrestAt && now < changeAt);
			}
		}
	}

	let isAnnounced = false;
	simulation.startLeader(0);
	simulation.runUntil(changeAt, now => {
		step(now, 0);
		if (now >= announceAt && !isAnnounced) {
			isAnnounced = true;
			simulation.announce(server, fewerSlots);
		}
	});
	const limit = simulation.getKnownCapacity(server);
	simulation.startLeader(1);
	simulation.runUntil(changeAt + settledAfter, now => {
		step(now, 1);
	});
	const silent = simulation.entries.filter(entry => !heard.includes(entry));
	return {
		limit,
		heard: getSlots(simulation, heard),
		silent: getSlots(simulation, silent),
		isReduced: limit < 6 || shedTimes.size < heard.length,
		areAllHeard: silent.length === 0,
	};
}

describe('createLeadership: what only the earlier leader knew of a server that carries less', () => {
	/** Checks that the entries use no more than the server can carry, beyond what the silent ones do, and counts what was seen. */
	function doTest(firstSeed: number, runCount: number): {readonly reduced: number; readonly used: number; readonly whole: number} {
		const seen = {reduced: 0, used: 0, whole: 0};
		for (let seed = firstSeed; seed < firstSeed + runCount; seed++) {
			const {
				limit, heard, silent, isReduced, areAllHeard,
			} = play(seed);
			const mustBeWhole = areAllHeard && !isReduced;
			const isWithin = heard + silent <= Math.max(limit, silent);
			const isWhole = heard + silent === limit;
			expect({
				seed, limit, heard, silent, isWithin, isWhole,
			}).toEqual({
				seed, limit, heard, silent, isWithin: true, isWhole: mustBeWhole || isWhole,
			});
			seen.reduced += isReduced ? 1 : 0;
			seen.used += isReduced && heard > 0 ? 1 : 0;
			seen.whole += mustBeWhole ? 1 : 0;
		}

		return seen;
	}

	test('is not lost with it', () => {
		const seen = doTest(7001, 300);
		expect([seen.reduced > 75, seen.used > 20, seen.whole > 20]).toEqual([true, true, true]);
	});
	test('is not lost if the server sheds after it has announced fewer slots', () => {
		doTest(9656, 1);
		doTest(12_578, 1);
	});
});
