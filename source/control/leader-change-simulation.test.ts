import {describe, test} from 'node:test';
import {Encoder} from 'cbor-x';
import {expect} from 'earl';
import {announcementSchema} from '../announcement/index.js';
import {documentSchema} from '../configuration/index.js';
import {
	createLeaseHolder, createRenewalPacing, type Grant, type LeaseHolder, type Renewal, type RenewalPacing,
} from '../lease/index.js';
import {createLeadership, type Leadership} from './leadership.js';
import {createStateMachine, type StateMachine} from './state-machine.js';

const entryCount = 312;
const serverCount = 480;
const linkBytesPerMillisecond = 250;
const stepMilliseconds = 5;
const confirmMilliseconds = 100;
const termMilliseconds = 3000;
const freezeAt = 10_000;
const nextLeaderAt = 11_000;

/** Time within which control must be back at its earlier load after the change of the leader. */
const settledAt = nextLeaderAt + 2000;
const endAt = settledAt + 3000;

type SimulatedEntry = {
	readonly name: string;
	readonly holder: LeaseHolder;
	readonly pacing: RenewalPacing;
	readonly servers: Set<number>;
	/** Time until which the entry's link is busy. */
	linkBusyUntil: number;
	leader: Leadership | undefined;
};

type Delivery = {readonly at: number; readonly entry: SimulatedEntry; readonly grant: Grant};

function createMachine(): StateMachine {
	const machine = createStateMachine({
		retentionMilliseconds: 1000, maximumClaims: 10, maximumAnswerBytes: 10, maximumStoredBytes: 10,
	});
	machine.apply({
		area: 'configuration', command: {
			kind: 'apply', environment: 'production', base: 0, change: 'c', author: 'a', at: 0, update: {kind: 'whole', document: documentSchema.parse({zones: [{name: 'north'}], services: [{name: 'stock'}]})},
		},
	}, 1);
	for (let index = 0; index < serverCount; index++) {
		machine.apply({
			area: 'registry', command: {
				kind: 'announced', at: 0, announcement: announcementSchema.parse({
					service: 'stock', name: `server-${index}`, host: '10.0.0.1', port: index + 1, zone: 'north', slots: 6, connections: 2400, boot: `boot-${index}`, state: 'warm', coldMilliseconds: 0, bornAt: 1, sequence: 1,
				}),
			},
		}, index + 2);
	}

	return machine;
}

/** Plays a leader that freezes and is replaced by another, and returns the bytes that control sent in each second. */
function play(): {readonly bytesBySecond: readonly number[]; readonly entries: readonly SimulatedEntry[]} {
	const encoder = new Encoder({useRecords: false});
	const machine = createMachine();
	const entries: readonly SimulatedEntry[] = Array.from({length: entryCount}, (_, index) => ({
		name: `e${index}`, holder: createLeaseHolder(), pacing: createRenewalPacing({renewMilliseconds: 500, answerTimeoutMilliseconds: 800}), servers: new Set(), linkBusyUntil: 0, leader: undefined,
	}));
	const bytesBySecond = Array.from({length: endAt / 1000}, () => 0);
	let deliveries: Delivery[] = [];
	let current: Leadership | undefined = startLeader(1, 0);

	function startLeader(epoch: number, startedAt: number): Leadership {
		const leadership = createLeadership({
			epoch, startedAt, termMilliseconds, machine, getWallClock: () => 0, getAppliedIndex: () => serverCount + 1,
		});
		for (const entry of entries) {
			entry.leader = leadership;
			entry.pacing.expedite();
		}

		return leadership;
	}

	function renew(entry: SimulatedEntry, now: number): void {
		const {holder} = entry;
		entry.pacing.recordSent(now);
		const sequence = holder.startRenewal(now);
		const renewal: Renewal = {
			kind: 'renewal', entry: entry.name, environment: 'production', sequence, acknowledged: holder.getAcknowledged(), version: holder.getVersion(), epoch: holder.getEpoch(), revision: holder.getRevision(), logIndex: holder.getLogIndex(), peersRevision: holder.getPeersRevision(), observations: [], failedProbes: [], heard: [], crashes: [], peer: undefined, isFinal: false,
		};
		if (current === undefined || entry.leader !== current) {
			return;
		}

		const grant = current.grant(renewal, now, now);
		const bytes = encoder.encode(grant).length;
		bytesBySecond[Math.floor(now / 1000)]! += bytes;
		entry.linkBusyUntil = Math.max(entry.linkBusyUntil, now + confirmMilliseconds) + (bytes / linkBytesPerMillisecond);
		deliveries.push({at: entry.linkBusyUntil, entry, grant});
	}

	function deliver(now: number): void {
		const due = deliveries.filter(({at}) => at <= now);
		deliveries = deliveries.filter(({at}) => at > now);
		for (const {entry, grant} of due) {
			entry.pacing.recordAnswer();
			if (entry.holder.accept(grant, now)) {
				for (const {id} of grant.servers) {
					entry.servers.add(id);
				}
			}
		}
	}

	for (let now = 0; now < endAt; now += stepMilliseconds) {
		if (now === freezeAt) {
			current = undefined;
		} else if (now === nextLeaderAt) {
			current = startLeader(2, now);
		}

		deliver(now);
		for (const entry of entries) {
			if (entry.pacing.getDueAt() <= now) {
				renew(entry, now);
			}
		}
	}

	return {bytesBySecond, entries};
}

describe('312 entries on slow links after a change of the leader', () => {
	const {bytesBySecond, entries} = play();

	test('all hold a lease of the new leader, and know all servers', () => {
		expect(entries.every(({holder, servers}) => holder.getEpoch() === 2 && holder.isValid(endAt) && servers.size === serverCount)).toEqual(true);
	});
	test('cost no more bytes than before, two seconds after it', () => {
		const before = Math.max(...bytesBySecond.slice((freezeAt / 1000) - 3, freezeAt / 1000));
		const after = Math.max(...bytesBySecond.slice(settledAt / 1000));
		expect(after <= before * 1.1).toEqual(true);
	});
	test('need no whole lists from the new leader', () => {
		const first = Math.max(...bytesBySecond.slice(0, 2));
		const atChange = Math.max(...bytesBySecond.slice(nextLeaderAt / 1000, settledAt / 1000));
		expect(atChange * 10 <= first).toEqual(true);
	});
});
