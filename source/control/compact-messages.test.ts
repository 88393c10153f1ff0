import {describe, test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {type CountsMessage} from '../choice/index.js';
import {documentSchema} from '../configuration/index.js';
import {type ReplicaMessage} from '../consensus/index.js';
import {
	createFrameReader, createLinkCoding, decode, encode, encodeFrame, ownCompactForm,
} from '../wire/index.js';
import {
	type ControlInbound, type ControlOutbound, type ControlRequest, type ControlResponse,
} from './message.js';

type Samples<Kinds extends {readonly kind: string}> = {readonly [Kind in Kinds['kind']]: ReadonlyArray<Extract<Kinds, {readonly kind: Kind}>>};

const announcement = {
	service: 'stock', name: 's-1', host: '10.0.0.1', port: 80, zone: 'north', slots: 4, connections: 8,
	boot: 'b', state: 'warm', load: 0.5, bornAt: 1_760_000_000_000, sequence: 4, probePath: '/health',
} as const;
const document = documentSchema.parse({zones: [{name: 'north'}], services: [{name: 'stock', host: 'shop'}]});
const version = {
	version: 3, change: 'c', author: 'a', at: 1_760_000_000_000, document, source: 'text',
};
const stored = {status: 201, headers: ['a', 'b'], body: new Uint8Array([1, 2])};
const held = {shard: 0, key: 'k', attempt: 'a'};
const service = {
	service: 'stock', total: 3, failed: 1, slow: 1, histogram: 'abc',
};

const requests: Samples<ControlRequest> = {
	announce: [{kind: 'announce', announcement}, {kind: 'announce', announcement: {...announcement, name: 's-2', state: 'cold'}}],
	configure: [{
		kind: 'configure', command: {
			kind: 'declare', environment: 'production', version: 3, document, source: 'text', author: 'a', at: 0,
		},
	}],
	ledger: [
		{
			kind: 'ledger', command: {
				kind: 'claim', ...held, digest: 'd'.repeat(64), at: 1,
			},
		},
		{
			kind: 'ledger', command: {
				kind: 'finish', ...held, answer: stored, at: 1,
			},
		},
		{kind: 'ledger', command: {kind: 'release', ...held, at: 1}},
	],
	leave: [{
		kind: 'leave', name: 's-1', bornAt: undefined, known: {boot: undefined},
	}, {kind: 'leave', name: 's-1', bornAt: 5}],
	readZones: [{kind: 'readZones'}],
	moveZone: [{
		kind: 'moveZone', zone: 'north', isOut: true, revision: 4, isConfirmed: true, order: 'o',
	}],
	drain: [{kind: 'drain', key: 'k', boot: 'b'}],
	crash: [{kind: 'crash', fingerprint: 'f', server: 4}],
	clearCrashes: [{kind: 'clearCrashes', fingerprint: 'f'}],
	readVersion: [{kind: 'readVersion', environment: 'trial'}],
	readHistory: [{kind: 'readHistory', environment: 'trial'}],
	readInForce: [{kind: 'readInForce', environment: 'trial', version: 4}],
	readStatus: [{kind: 'readStatus'}],
	quota: [{
		kind: 'quota', environment: 'production', process: 'p', epoch: 2, report: ['clinic', 4, 3, 0, 6], waiting: 2, refused: 1,
	}],
};

const responses: Samples<ControlResponse> = {
	announced: [{kind: 'announced', state: 'warm'}],
	configured: [{kind: 'configured', answer: {kind: 'accepted', environment: 'production', version: 3}}],
	notStorable: [{kind: 'notStorable'}],
	ledger: [{kind: 'ledger', answer: {kind: 'granted'}}, {kind: 'ledger', answer: {kind: 'replay', answer: stored}}],
	drained: [{kind: 'drained', isKnown: true}],
	left: [{kind: 'left'}],
	serverChanged: [{kind: 'serverChanged'}],
	zones: [{kind: 'zones', revision: 4}],
	zoneMoved: [{kind: 'zoneMoved'}],
	zonesChanged: [{kind: 'zonesChanged'}],
	zoneUnconfirmed: [{kind: 'zoneUnconfirmed'}],
	crashes: [{kind: 'crashes', count: 2}],
	version: [{kind: 'version', version: undefined}, {kind: 'version', version}],
	history: [{kind: 'history', versions: [version, version]}],
	inForce: [{kind: 'inForce', isInForce: false}],
	status: [{
		kind: 'status', status: {
			leader: 'a:1', term: 2, commitIndex: 5, versions: {trial: 0, production: 3}, claims: 1, quarantined: ['f'], measuring: {planned: 1.5, budget: 50},
			replicas: [{
				replica: 'a:1:x', role: 'leader', matchIndex: 5, silentMilliseconds: 0,
			}],
			entries: [{
				entry: 'one', environment: 'production', version: 3, leaseMilliseconds: 2500,
			}],
			servers: [{
				key: 'k', id: 1, boot: 'b', zone: 'north', state: 'warm', isAbsent: false, slots: 4, permits: undefined, prober: 'one',
			}],
		},
	}],
	notLeader: [{kind: 'notLeader', leader: 'a:1'}, {kind: 'notLeader', leader: undefined}],
	unknown: [{kind: 'unknown'}],
	quota: [{
		kind: 'quota', epoch: 2, granted: 6, total: 20, held: 2, retryMilliseconds: 0,
	}],
};

const replicaMessages: Samples<ReplicaMessage> = {
	voteRequest: [{
		kind: 'voteRequest', term: 2, isPreVote: true, isTransfer: false, lastIndex: 4, lastTerm: 1,
	}],
	vote: [{
		kind: 'vote', term: 2, isPreVote: true, isGranted: true,
	}],
	append: [
		[],
		[{index: 5, term: 2, payload: {kind: 'noOperation'}} as const],
		[{index: 6, term: 2, payload: {kind: 'command', command: {area: 'ledger', command: {kind: 'release', ...held, at: 1}}}} as const],
	].map(entries => ({
		kind: 'append', term: 2, previousIndex: 4, previousTerm: 1, entries, commitIndex: 4, round: 9,
	})),
	appended: [{
		kind: 'appended', term: 2, isSuccess: true, index: 4, round: 9,
	}],
	install: [{
		kind: 'install', term: 2, snapshot: {
			index: 4, term: 1, membership: {voters: ['a:1:x'], learners: []}, data: {parts: [1]},
		}, round: 3,
	}],
	timeoutNow: [{kind: 'timeoutNow', term: 2}],
};

const permit = {
	server: 4, slots: 1.5, requestsPerSecond: 3, capacity: {
		epoch: 2, grant: 3, slots: 4, held: 5,
	},
};

const inbound: Samples<ControlInbound> = {
	consensus: Object.values(replicaMessages).flat().map(message => ({
		kind: 'consensus', from: 'a:1:x', to: 'b:1:y', message,
	})),
	snapshotPart: [{
		kind: 'snapshotPart', from: 'a:1:x', to: 'b:1:y', transfer: 1, number: 2, part: {a: [1]}, install: undefined,
	}],
	join: [{kind: 'join', replica: 'a:1:x'}],
	availability: [{
		kind: 'availability', replica: 'a:1:x', availability: 'asking', isAnswer: true,
	}],
	renewal: [
		{
			kind: 'renewal', entry: 'one', process: 'abc', environment: 'production', sequence: 1, acknowledged: 0, version: -1,
			epoch: 0, revision: 0, logIndex: 0, peersRevision: 0, observations: [], held: [],
			slack: {
				total: 27, part: 0, used: 0, wanted: 0,
			},
			failedProbes: [], heard: [], crashes: [], peer: undefined, isFinal: false,
		},
		{
			kind: 'renewal', entry: 'one', process: 'abc', environment: 'production', sequence: 2, acknowledged: 1, version: 3,
			epoch: 2, revision: 4, logIndex: 7, peersRevision: 1,
			observations: [{
				server: 4, inFlight: 1, successes: 2, sheds: 1, unansweredShedReports: 1, isCold: true,
			}],
			held: [permit],
			slack: {
				total: 27, part: 1.5, used: 0.3, wanted: 0.7,
			},
			failedProbes: [4], heard: [5, 6], crashes: [{fingerprint: 'f', server: 4}],
			earlier: {absent: [4], quarantined: ['f'], entries: 9}, peer: {name: 'one', host: '10.0.0.2', port: 9}, isFinal: false,
		},
	],
	request: Object.values(requests).flat().map((request, id) => ({kind: 'request', id, request})),
	burnReport: [{
		kind: 'burnReport', entry: 'one', environment: 'production', startedAt: 5, services: [service],
	}],
};

const grant = {
	kind: 'grant', sequence: 1, termMilliseconds: 3000, epoch: 2, revision: 4, isWhole: false, logIndex: 7, servers: [], version: 3,
	document: undefined, permits: [], slack: {part: 1.5}, duties: [4], probeMilliseconds: 1000,
	quarantined: [], zonesOut: [], zonesRevision: 0, entries: 9, peersRevision: 1, peers: undefined,
} as const;

const outbound: Samples<ControlOutbound> = {
	reply: Object.values(responses).flat().map((answer, id) => ({kind: 'reply', id, answer})),
	grant: [
		grant,
		{...grant, sequence: 2, zonesOut: ['north']},
		{
			...grant, sequence: 3, isWhole: true, document: {kind: 'whole', document}, permits: [{...permit, isKept: true}],
			slack: {part: 1.5, isKept: true}, listed: [4], keepsEarlier: true, peers: [{name: 'two', host: '10.0.0.3', port: 9}],
			servers: [{
				id: 4, announcement, state: 'warm', isAbsent: false, isRemoved: false,
			}],
		},
	],
	refusal: [{kind: 'refusal', sequence: 1, leader: undefined}, {kind: 'refusal', sequence: 1, leader: 'a:1'}],
	nudge: [{kind: 'nudge'}],
	quarantined: [{kind: 'quarantined', fingerprints: ['f', 'g']}],
	directory: [{
		kind: 'directory', hosts: ['a:1', 'b:1', 'c:1'], index: 4, leader: 'a:1',
	}],
};

const counts: CountsMessage = {
	kind: 'counts', entry: 'one', isWhole: false, servers: [1, 2], inFlight: [3, 4],
};

// Guards against a kind of message that the compact form changes, on any link and in any order.
describe('messages in the compact form', () => {
	function doTest(seed: number, messages: readonly object[]): void {
		fc.assert(fc.property(fc.array(fc.constantFrom(...messages), {minLength: 1, maxLength: 60}), sent => {
			const coding = createLinkCoding(ownCompactForm);
			const reader = createFrameReader();
			reader.setCoding(createLinkCoding(ownCompactForm));
			expect(sent.flatMap(message => reader.push(encodeFrame(message, coding)))).toEqual(sent.map(message => decode(encode(message))));
		}), {seed, numRuns: 300});
	}

	test('arrive at control hosts as they were sent', () => {
		doTest(71, Object.values(inbound).flat());
	});
	test('arrive at entries as they were sent', () => {
		doTest(72, Object.values(outbound).flat());
	});
	test('arrive at peers as they were sent', () => {
		doTest(73, [counts, {...counts, isWhole: true}, {...counts, servers: [], inFlight: []}]);
	});

	const renewal = inbound.renewal[0]!;
	const next = {
		...renewal, sequence: 2, acknowledged: 1, version: 3, epoch: 2, revision: 4, peersRevision: 1,
	};

	/** Expects the size of the last of several frames on one link. */
	function doSizeTest(messages: readonly object[], maximumBytes: number): void {
		const coding = createLinkCoding(ownCompactForm);
		const sizes = messages.map(message => encodeFrame(message, coding).length);
		expect(sizes.at(-1)! <= maximumBytes).toEqual(true);
	}

	test('take some bytes for a renewal in which nothing but its number changes', () => {
		doSizeTest([renewal, next, {...next, sequence: 3, acknowledged: 2}], 12);
	});
	test('take some bytes for a grant in which nothing but its number changes', () => {
		doSizeTest([grant, {...grant, sequence: 2}], 9);
	});
	for (const count of [1, 4, 10, 20, 40, 90]) {
		// Long lists are compressed in both forms, from different lengths on.
		test(`take fewer bytes than in the plain form with ${count} cold servers`, () => {
			const permits = Array.from({length: count}, (_, index) => ({
				...permit, server: 100 + index, requestsPerSecond: 0.35 + (index * 0.01), capacity: {...permit.capacity, grant: 1300 + (index * 3)},
			}));
			const observations = permits.map(({server}, index) => ({
				server, inFlight: index % 3, successes: index % 5, sheds: 0, isCold: false,
			}));
			const renewals = [next, {...next, observations, held: permits}];
			const grants = [grant, {...grant, permits}];
			doSizeTest(renewals, encodeFrame(renewals[1]).length - 1);
			doSizeTest(grants, encodeFrame(grants[1]).length - 1);
		});
	}

	test('take some bytes for a heartbeat', () => {
		const heartbeat = inbound.consensus.find(({message}) => message.kind === 'append');
		doSizeTest([heartbeat!, {...heartbeat!, message: {...heartbeat!.message, round: 40_000}}], 10);
	});
});
