import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../randomness/index.js';
import {createAllocator, type Allocator} from './index.js';

const slots = 6;
const termMilliseconds = 1000;
const deadlineMilliseconds = 500;
const stepCount = 400;

/** A process of an entry. */
type Process = {
	readonly entry: string;
	readonly id: string;
	sequence: number;
	acknowledged: number;
	permit: number;
	expiresAt: number;
	inFlight: readonly number[];
};

/** A renewal as it was sent. */
type SentRenewal = {readonly sender: Process; readonly sequence: number; readonly acknowledged: number; readonly inFlight: number};

/** The leader's side of the leases. */
type Leader = {
	/** Grants a renewal, and returns the slots of the grant. */
	grant(renewal: SentRenewal, now: number): number;
	expire(now: number): void;
};

function createLeader(allocator: Allocator, areProcessesNamed: boolean): Leader {
	const expiries = new Map<string, number>();
	return {
		grant({sender: {entry, id}, sequence, acknowledged, inFlight}, now) {
			if (areProcessesNamed) {
				allocator.setProcess(entry, id);
			}

			allocator.report(entry, acknowledged, [{
				server: 7, inFlight, successes: 0, sheds: 0, isCold: false,
			}], now);
			expiries.set(entry, now + termMilliseconds);
			return allocator.grant(entry, sequence, [...expiries.keys()].toSorted(), now)[0]?.slots ?? 0;
		},
		expire(now) {
			for (const [entry, expiry] of expiries) {
				if (expiry <= now) {
					allocator.expireLease(entry, now);
					expiries.delete(entry);
				}
			}
		},
	};
}

/** Plays entries that are killed and started again at once, and renewals of the killed ones that arrive late. Gets the most slots in use at a time, and the requests. */
function play(seed: number, areProcessesNamed: boolean): {readonly most: number; readonly requests: number} {
	const random = createRandom(seed);
	const allocator = createAllocator({startedAt: 0, termMilliseconds});
	allocator.add({
		id: 7, slots, easing: {initialSlots: slots, growthPerSuccess: 0.1, ceilingMilliseconds: 30_000}, deadlineMilliseconds, hasEarlierHolders: false,
	}, 0);
	const leader = createLeader(allocator, areProcessesNamed);
	let late: SentRenewal[] = [];
	let starts = 0;
	let requests = 0;
	let now = 0;

	function start(entry: string): Process {
		return {
			entry, id: `p${++starts}`, sequence: 0, acknowledged: 0, permit: 0, expiresAt: 0, inFlight: [],
		};
	}

	let processes = ['a', 'b', 'c'].map(entry => start(entry));
	/** Times until which entries are silent, so that the others have larger parts. */
	const silentUntil = new Map<string, number>();

	function renew(sender: Process): void {
		sender.sequence++;
		const renewal: SentRenewal = {
			sender, sequence: sender.sequence, acknowledged: sender.acknowledged, inFlight: sender.inFlight.length,
		};
		if (random() < 0.15) {
			late.push(renewal);
			return;
		}

		const granted = leader.grant(renewal, now);
		if (random() < 0.8) {
			sender.permit = granted;
			sender.acknowledged = sender.sequence;
			sender.expiresAt = now + termMilliseconds;
		}
	}

	/** Delivers the renewals of a killed process, whose grants nobody receives. */
	function deliverLate(): void {
		const first = late.find(({sender}) => !processes.includes(sender));
		if (first !== undefined) {
			late = late.filter(renewal => renewal !== first);
			leader.grant(first, now);
		}
	}

	let most = 0;
	for (let step = 0; step < stepCount; step++) {
		now += Math.floor(random() * 60);
		leader.expire(now);
		const process = processes[Math.floor(random() * processes.length)]!;
		for (const other of processes) {
			other.inFlight = other.inFlight.filter(end => end > now);
		}

		const kind = random();
		if (kind < 0.4) {
			if (now >= (silentUntil.get(process.entry) ?? 0)) {
				renew(process);
			}
		} else if (kind < 0.42) {
			silentUntil.set(process.entry, now + (random() * 4000));
		} else if (kind < 0.45) {
			processes = processes.map(other => other === process ? start(process.entry) : other);
		} else if (kind < 0.55) {
			deliverLate();
		} else if (now < process.expiresAt && process.inFlight.length < process.permit) {
			process.inFlight = [...process.inFlight, now + deadlineMilliseconds];
			requests++;
		}

		const used = processes.reduce((sum, {permit, expiresAt, inFlight}) => sum + Math.max(inFlight.length, now < expiresAt ? permit : 0), 0);
		most = Math.max(most, used);
	}

	return {most, requests};
}

describe('createAllocator: entries that are killed and started again, and late renewals of the killed ones', () => {
	function doTest(firstSeed: number, runCount: number, areProcessesNamed: boolean): void {
		let requests = 0;
		for (let seed = firstSeed; seed < firstSeed + runCount; seed++) {
			const played = play(seed, areProcessesNamed);
			requests += played.requests;
			expect({seed, ...played, isWithin: played.most <= slots}).toEqual({seed, ...played, isWithin: true});
		}

		expect(requests > 20 * runCount).toEqual(true);
	}

	test('never use more slots than the server has', () => {
		doTest(1, 300, true);
	});
	test('never use more slots than the server has if the processes are of an earlier release, and their numbers differ', () => {
		doTest(1, 300, false);
	});
	test('never use more slots than the server has if a late renewal acknowledges a number that the successor has reached', () => {
		doTest(3449, 1, true);
	});
});
