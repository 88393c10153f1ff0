import {describe, test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {announcementSchema} from '../announcement/index.js';
import {createEarlierStateKeeper, type EarlierStateKeeper} from '../entry/lease/index.js';
import {createFleet, type Fleet} from '../entry/fleet/index.js';
import {
	createLeaseHolder, type Grant, type LeaseHolder, type Renewal,
} from '../lease/index.js';
import {createRandom} from '../randomness/index.js';
import {createLeadership, type Leadership} from './leadership.js';
import {createStateMachine, type StateMachine} from './state-machine.js';

const termMilliseconds = 3000;
const renewMilliseconds = 500;
const announceMilliseconds = 1000;
const silenceMilliseconds = 3500;

/** Time after which each linked entry must agree with a server that began or stopped to announce itself. */
const settleMilliseconds = silenceMilliseconds + announceMilliseconds + termMilliseconds + (2 * renewMilliseconds);

const serverCount = 4;
const entryCount = 3;
const serverIds = Array.from({length: serverCount}, (_, index) => index + 1);

function createMachine(): StateMachine {
	const machine = createStateMachine({
		retentionMilliseconds: 1000, maximumClaims: 10, maximumAnswerBytes: 10, maximumStoredBytes: 10,
	});
	for (const id of serverIds) {
		const announcement = announcementSchema.parse({
			service: 'stock', name: `s${id}`, host: '10.0.0.1', port: id, zone: 'north', slots: 4, connections: 100, boot: 'b', state: 'warm',
		});
		machine.apply({area: 'registry', command: {kind: 'announced', at: 0, announcement}}, id);
	}

	return machine;
}

/** An entry that applies what grants say of servers and the quarantine, in virtual time. */
type TestEntry = {
	readonly fleet: Fleet;
	readonly heard: Set<number>;
	createRenewal(now: number): Renewal;
	apply(grant: Grant, now: number): void;
	getQuarantined(): readonly string[];
};

function createTestEntry(name: string, keeps: boolean): TestEntry {
	const fleet = createFleet(createRandom(1), undefined);
	const holder: LeaseHolder = createLeaseHolder();
	const heard = new Set<number>();
	let quarantined: readonly string[] = [];
	let time = 0;
	const keeper: EarlierStateKeeper = createEarlierStateKeeper({
		getCurrent: () => ({absent: fleet.getAbsent(), quarantined, entries: entryCount}), getTime: () => time,
	});

	return {
		fleet,
		heard,
		createRenewal(now) {
			const earlier = keeper.get();
			const taken = [...heard];
			heard.clear();
			return {
				kind: 'renewal', entry: name, environment: 'production', sequence: holder.startRenewal(now), acknowledged: holder.getAcknowledged(), version: 0, epoch: holder.getEpoch(), revision: holder.getRevision(), logIndex: holder.getLogIndex(), peersRevision: holder.getPeersRevision(),
				observations: [], held: [], failedProbes: [], heard: taken, crashes: [], peer: undefined, isFinal: false, ...(earlier === undefined ? {} : {earlier}),
			};
		},
		apply(grant, now) {
			time = now;
			if (!holder.accept(grant, now)) {
				return;
			}

			const kept = keeps ? keeper.record(grant, holder.getRenewedAt()) : undefined;
			fleet.update(grant.servers, grant.isWhole);
			if (grant.listed !== undefined) {
				fleet.retain(grant.listed, grant.servers);
			}

			fleet.markAbsent(kept?.absent ?? []);
			quarantined = [...new Set([...grant.quarantined, ...kept?.quarantined ?? []])];
		},
		getQuarantined: () => quarantined,
	};
}

type Step = readonly [kind: number, number: number];

/** Plays steps of 100 ms: leaders that are replaced, grants that are lost, entries that are cut off, servers that stop and return. */
function play(steps: readonly Step[], oldEntries: number): {readonly changes: number; readonly absences: number} {
	const machine = createMachine();
	const entries = Array.from({length: entryCount}, (_, index) => createTestEntry(`e${index}`, index >= oldEntries));
	const silentSince = new Map<number, number>();
	const changedAt = new Map(serverIds.map(id => [id, 0]));
	/** Silent servers that a leader has told to be absent. */
	const told = new Set<number>();
	const informedAt = entries.map(() => 0);
	let leaderSince = 0;
	const cutUntil = entries.map(() => 0);
	const linkedSince = entries.map(() => 0);
	let epoch = 1;
	let now = 0;
	let absences = 0;

	function lead(): Leadership {
		return createLeadership({
			epoch, startedAt: now, termMilliseconds, machine, getWallClock: () => 0, getAppliedIndex: () => serverCount,
		});
	}

	function announce(): void {
		for (const id of serverIds.filter(id => !silentSince.has(id) && (now + (id * 100)) % announceMilliseconds === 0)) {
			const linked = entries.filter((_, index) => cutUntil[index]! <= now);
			const entry = linked[(now / 100) % Math.max(1, linked.length)];
			if (entry?.fleet.get(id)?.candidate.isAbsent() === true) {
				// The product forwards the announcement of a server that it takes for absent.
				leadership.recordLiveness(id, now);
			} else {
				entry?.heard.add(id);
			}
		}
	}

	function renew(index: number, isLost: boolean): void {
		const entry = entries[index]!;
		if (now - informedAt[index]! > termMilliseconds - renewMilliseconds) {
			// By now the entry may have dropped what it kept, and learns it again from the others.
			linkedSince[index] = now;
		}

		const grant = leadership.grant(entry.createRenewal(now), now, now);
		if (!isLost) {
			entry.apply(grant, now);
			informedAt[index] = grant.keepsEarlier === true ? informedAt[index]! : now;
		}
	}

	/** Records which silent servers are told to be absent. If no entry that keeps them was informed within the term, they need to be told again. */
	function recordTold(): void {
		if (now - Math.max(...informedAt.slice(oldEntries)) > termMilliseconds - renewMilliseconds) {
			told.clear();
		}

		for (const [id, since] of silentSince) {
			if (now - Math.max(since, leaderSince) > settleMilliseconds) {
				told.add(id);
			}
		}
	}

	function check(index: number): void {
		const {fleet, getQuarantined} = entries[index]!;
		if (now - linkedSince[index]! <= settleMilliseconds) {
			return;
		}

		for (const id of serverIds.filter(id => now - changedAt.get(id)! > settleMilliseconds)) {
			const isAbsent = fleet.get(id)!.candidate.isAbsent();
			absences += isAbsent && leaderSince > now - silenceMilliseconds ? 1 : 0;
			if (!silentSince.has(id)) {
				expect({id, isAbsent}).toEqual({id, isAbsent: false});
			} else if (told.has(id) && index >= oldEntries) {
				expect({id, isAbsent}).toEqual({id, isAbsent: true});
			}
		}

		if (index >= oldEntries) {
			expect(getQuarantined()).toEqual(['f']);
		}
	}

	let leadership = lead();
	leadership.reportCrash('f', 1, 0);
	leadership.reportCrash('f', 2, 0);
	// All entries get a grant of the first leader, who alone knows of the crashes.
	const quietSteps = Array.from({length: renewMilliseconds / 100}, (): Step => [50, 0]);
	for (const [kind, number] of [...quietSteps, ...steps]) {
		now += 100;
		const id = serverIds[number % serverCount]!;
		if (kind < 1) {
			epoch++;
			leaderSince = now;
			leadership = lead();
		} else if (kind < 5 && number < 300) {
			changedAt.set(id, now);
			told.delete(id);
			if (!silentSince.delete(id)) {
				silentSince.set(id, now);
			}
		} else if (kind < 7) {
			const index = number % entryCount;
			cutUntil[index] = now + ((number % 20) * 100);
			linkedSince[index] = cutUntil[index];
		}

		leadership.tick(now);
		announce();
		recordTold();
		for (const index of entries.keys()) {
			if (cutUntil[index]! <= now && (now + (index * 100)) % renewMilliseconds === 0) {
				renew(index, kind >= 90);
				check(index);
			}
		}
	}

	for (const {fleet} of entries) {
		fleet.close();
	}

	return {changes: epoch - 1, absences};
}

describe('createLeadership: servers and requests while leaders replace each other', () => {
	function doTest(seed: number, oldEntries: number): void {
		let changes = 0;
		let absences = 0;
		fc.assert(fc.property(fc.array(fc.tuple(fc.nat(99), fc.nat(1000)), {minLength: 300, maxLength: 600, size: 'max'}), steps => {
			const played = play(steps, oldEntries);
			changes += played.changes;
			absences += played.absences;
		}), {seed, numRuns: 60, endOnFailure: true});
		expect([changes > 60, absences > 60]).toEqual([true, true]);
	}

	test('keep dead servers absent and requests quarantined, and no live server absent', () => {
		doTest(9801, 0);
	});
	test('keep no live server absent where some entries are of an earlier release', () => {
		doTest(9802, 1);
	});
});
