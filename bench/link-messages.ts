/** Creates the messages on links of a fleet of 142 entries and 258 warm servers in three zones with five control hosts, one of which leads. */
import {createLeadership, type Leadership} from '../source/control/index.js';
import {type Grant, type Renewal} from '../source/lease/index.js';
import {
	createAnnouncement, createPopulatedStateMachine, createRenewal, leaseTermMilliseconds,
} from './slopes/fixtures.js';

const serverCount = 258;
/** Number of entries of the fleet. */
export const entryCount = 142;

/** Number of control hosts that follow the leader. */
export const followerCount = 4;
const renewalsPerSecond = 2;
const renewalIntervalMilliseconds = 500;

/** Heartbeats of 100 ms, as in `deploy/control.toml`. */
const heartbeatsPerSecond = 10;

/** Renewals before the measured ones, after which nothing changes any more. */
const settlingRounds = 80;

/** Share of the entries, and of the links between entries and control hosts, that are between zones. */
export const shareBetweenZones = 2 / 3;

/** Number of followers that are not in the zone of the leader: the zones have two, two and one control host. */
const followersBetweenZones = 3;

/** Messages of one kind, and how often they are sent. */
export type MessageKind = {
	readonly name: string;
	/** Messages of one link in their order. */
	readonly messages: readonly object[];
	/** Number of such messages a second in the whole system, and between zones. */
	readonly perSecond: number;
	readonly perSecondBetweenZones: number;
};

function createEntryRenewal(entry: string, sequence: number, grant: Grant | undefined, serves: boolean): Renewal {
	const used = serves ? 0.35 + (sequence * 0.013) : 0;
	return {
		...createRenewal(entry, sequence, grant),
		process: 'a1B2c3D4',
		logIndex: grant?.logIndex ?? 0,
		held: [],
		slack: {
			total: 27, part: grant?.slack?.part ?? 0, used, wanted: used,
		},
		peer: undefined,
	};
}

/** Gets some renewals and grants of an entry that follow each other, when nothing but numbers changes. */
function getLeaseMessages(leadership: Leadership): Readonly<Record<'idle' | 'serving', {readonly renewals: readonly Renewal[]; readonly grants: readonly Grant[]}>> {
	const grants = new Map<string, Grant>();
	const kept = {idle: {renewals: [] as Renewal[], grants: [] as Grant[]}, serving: {renewals: [] as Renewal[], grants: [] as Grant[]}};
	for (let round = 1; round < settlingRounds + 10; round++) {
		for (let index = 0; index < entryCount; index++) {
			const [entry, now] = [`entry-${index}`, round * renewalIntervalMilliseconds];
			const renewal = createEntryRenewal(entry, round, grants.get(entry), index % 2 === 1);
			const grant = leadership.grant(renewal, now, now);
			grants.set(entry, grant);
			if (index < 2 && round >= settlingRounds) {
				const {renewals, grants: keptGrants} = kept[index === 0 ? 'idle' : 'serving'];
				renewals.push(renewal);
				keptGrants.push(grant);
			}
		}
	}

	return kept;
}

/** Gets the kinds of messages, idle ones and those of entries and servers that are used. */
export function getMessageKinds(): readonly MessageKind[] {
	const leadership = createLeadership({
		epoch: 3, startedAt: -100_000, termMilliseconds: leaseTermMilliseconds, machine: createPopulatedStateMachine(serverCount, 2), getWallClock: () => 0, getAppliedIndex: () => 5321,
	});
	for (let id = 1; id <= serverCount; id++) {
		leadership.recordLiveness(id, 0);
	}

	const {idle, serving} = getLeaseMessages(leadership);
	const ends = {kind: 'consensus', from: '10.0.1.11:3660:0f6b1c9e-6d0a-4f0e-9a61-27a1de8b7a55', to: '10.0.2.12:3660:5d3c9b0a-98d1-4a6f-8f4b-1f6f3fbb1c0d'};
	const rounds = [40_000, 40_001, 40_002];
	const heartbeats = rounds.map(round => ({
		...ends, message: {
			kind: 'append', term: 3, previousIndex: 5321, previousTerm: 3, entries: [], commitIndex: 5321, round,
		},
	}));
	const acknowledgements = rounds.map(round => ({
		...ends, message: {
			kind: 'appended', term: 3, isSuccess: true, index: 5321, round,
		},
	}));
	const claims = rounds.map(id => ({
		kind: 'request', id, request: {
			kind: 'ledger', command: {
				kind: 'claim', shard: 0, key: `production/payments/87/order-${id}`, attempt: `0f6b1c9e-6d0a-4f0e-9a61-27a1de8${id}`, digest: `${id}`.padEnd(64, 'a'), at: 0,
			},
		},
	}));
	const announcements = rounds.map(id => ({kind: 'request', id, request: {kind: 'announce', announcement: createAnnouncement(id % serverCount, 2)}}));
	const leases = entryCount * renewalsPerSecond;
	const leaseRates = {perSecond: leases, perSecondBetweenZones: leases * shareBetweenZones};
	const replicationRates = {perSecond: heartbeatsPerSecond * followerCount, perSecondBetweenZones: heartbeatsPerSecond * followersBetweenZones};
	return [
		{name: 'renewal, idle', messages: idle.renewals, ...leaseRates},
		{name: 'grant, idle', messages: idle.grants, ...leaseRates},
		{name: 'renewal, serving', messages: serving.renewals, ...leaseRates},
		{name: 'grant, serving', messages: serving.grants, ...leaseRates},
		{name: 'heartbeat', messages: heartbeats, ...replicationRates},
		{name: 'heartbeat response', messages: acknowledgements, ...replicationRates},
		{
			name: 'claim', messages: claims, perSecond: 0, perSecondBetweenZones: 0,
		},
		{
			name: 'announcement', messages: announcements, perSecond: 0, perSecondBetweenZones: 0,
		},
	];
}
