/** Malformed messages between our own processes, by what is wrong with them. */
import {documentSchema} from '../source/configuration/index.js';

const host = '127.0.0.1';

/** Document that the processes have. */
export const document = documentSchema.parse({zones: [{name: 'north'}], services: [{name: 'stock', host: 'shop'}]});
const renewal = {
	kind: 'renewal', entry: 'other', environment: 'production', sequence: 1, acknowledged: 0, version: -1, epoch: 0,
	revision: 0, peersRevision: 0, observations: [], failedProbes: [], heard: [], crashes: [], peer: undefined, isFinal: false,
};
const announcement = {
	service: 'stock', name: 's', host, port: 1, zone: 'north', slots: 4, connections: 4, boot: 'b', state: 'warm', load: 0, probePath: '/health',
};
const grant = {
	kind: 'grant', sequence: 1, termMilliseconds: 3000, epoch: 1_000_000, revision: 1, isWhole: true, servers: [], version: 1_000_000,
	document: undefined, permits: [], duties: [], probeMilliseconds: 1000, quarantined: [], zonesOut: [], entries: 1, peersRevision: 0, peers: undefined,
};

/** Requests to the leader. */
export const requests: Readonly<Record<string, unknown>> = {
	'without a request': undefined,
	'of null': null,
	'without a kind': {},
	'to announce nothing': {kind: 'announce'},
	'to announce a server without a name': {kind: 'announce', announcement: {...announcement, name: undefined}},
	'to announce a server with its slots as text': {kind: 'announce', announcement: {...announcement, slots: 'four'}},
	'to configure nothing': {kind: 'configure'},
	'to declare an unknown environment': {
		kind: 'configure', command: {
			kind: 'declare', environment: 'other', version: 7, document, source: '', author: 'a', at: 0,
		},
	},
	'to declare no document': {
		kind: 'configure', command: {
			kind: 'declare', environment: 'production', version: 7, source: '', author: 'a', at: 0,
		},
	},
	'to apply a document without services': {
		kind: 'configure', command: {
			kind: 'apply', environment: 'production', base: 1, change: 'c', update: {kind: 'whole', document: {zones: []}}, author: 'a', at: 0,
		},
	},
	'to claim nothing': {kind: 'ledger'},
	'to claim a key that is a number': {
		kind: 'ledger', command: {
			kind: 'claim', shard: 0, key: 5, attempt: 'a', digest: 'd',
		},
	},
	'to leave without a name': {kind: 'leave'},
	'to move no zone': {kind: 'moveZone', isOut: true},
	'to drain a server without a key': {kind: 'drain'},
	'for the version of an unknown environment': {kind: 'readVersion', environment: 'other'},
};

/** Messages to a control host. */
export const messages: Readonly<Record<string, unknown>> = {
	'that is null': null,
	'that is a number': 7,
	'without a kind': {},
	'that is a renewal with nothing else': {kind: 'renewal'},
	'that is a renewal of an entry without a name': {...renewal, entry: undefined},
	'that is a renewal of an unknown environment': {...renewal, environment: 'other'},
	'that is a renewal with an observation of nothing': {...renewal, observations: [null]},
	'that is a renewal with the permits that it holds as a number': {...renewal, held: 5},
	'that is a renewal whose last list is none': {...renewal, heard: 3},
	'that is a renewal that keeps absent servers as a number': {...renewal, earlier: {absent: 5, quarantined: [], entries: 1}},
	'that is a renewal with a report on slack without a total': {...renewal, slack: {part: 0, used: 0, wanted: 0}},
	'that is a renewal with a permit whose capacity is a number': {...renewal, held: [{server: 1, slots: 1, capacity: 5}]},
	'that is a burn report without services': {
		kind: 'burnReport', entry: 'a', environment: 'production', startedAt: 0,
	},
	'that is a request to join without a name': {kind: 'join'},
	'that is an availability of nobody': {kind: 'availability'},
	'that is a part of a snapshot of nobody': {kind: 'snapshotPart', to: 'x'},
};

/** Messages between replicas. */
export const consensusMessages: Readonly<Record<string, unknown>> = {
	'without contents': undefined,
	'that appends no list': {
		kind: 'append', term: 99, previousIndex: 0, previousTerm: 0, commitIndex: 0, round: 1,
	},
	'that appends nothing readable': {
		kind: 'append', term: 99, previousIndex: 0, previousTerm: 0, entries: [null], commitIndex: 0, round: 1,
	},
	'that appends members without voters': {
		kind: 'append', term: 99, previousIndex: 0, previousTerm: 0, entries: [{index: 1, term: 99, payload: {kind: 'membership', membership: {}}}], commitIndex: 0, round: 1,
	},
	'that asks for a vote without a term': {kind: 'voteRequest'},
	'that installs a snapshot with unreadable contents': {
		kind: 'install', term: 99, round: 1, snapshot: {
			index: 1_000_000, term: 99, membership: {voters: ['b:1'], learners: []}, data: {},
		},
	},
	'that installs no snapshot': {kind: 'install', term: 99, round: 1},
};

/** Messages to an entry. */
export const grants: Readonly<Record<string, unknown>> = {
	'that is null': null,
	'that is a reply without an answer': {kind: 'reply', id: 1},
	'that is a grant with nothing else': {kind: 'grant'},
	'that is a grant with a server that is none': {...grant, servers: [null]},
	'that is a grant with a server without an announcement': {
		...grant, servers: [{
			id: 7, state: 'warm', isAbsent: false, isRemoved: false,
		}],
	},
	'that is a grant with no list of permits': {...grant, permits: undefined},
	'that is a grant with a document without services': {...grant, document: {kind: 'whole', document: {zones: []}}},
	'that is a grant whose quarantine, the last that is applied, is a number': {...grant, quarantined: 5},
	'that is a grant whose part of the slack is no number': {...grant, slack: {part: 'all'}},
	'that is a directory without hosts': {kind: 'directory', index: 1},
	'that is a quarantine of nothing': {kind: 'quarantined'},
};
