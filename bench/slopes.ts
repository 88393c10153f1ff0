/**
 * Slopes for docs/CAPACITY.md: what one more server, entry, service, announcement,
 * claim or change costs, in one process. Times are medians of repeated runs.
 */
import {
	mkdtempSync, rmSync, statSync, readdirSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {monitorEventLoopDelay, performance} from 'node:perf_hooks';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {announcementSchema, type Announcement} from '../source/announcement/index.js';
import {
	createCandidate, createChooser, createCountsReporter, createJointCounts, type Policy,
} from '../source/choice/index.js';
import {
	applyDocumentUpdate, documentSchema, getDocumentUpdate, type DocumentUpdate, type EnvironmentDocument,
} from '../source/configuration/index.js';
import {createReplica} from '../source/consensus/index.js';
import {
	createLeadership, createMachine, machineCodec, type Machine,
} from '../source/control/index.js';
import {createFleet} from '../source/entry/fleet.js';
import {createRouter} from '../source/entry/router.js';
import {type Grant, type Renewal} from '../source/lease/index.js';
import {createRandom} from '../source/randomness/index.js';
import {openStore, type PersistAction} from '../source/storage/index.js';
import {decode, encode, encodeFrame} from '../source/wire/index.js';
import {
	atMost, getMedian, type BenchOptions, type BenchReport, type BenchRow, type BenchTarget,
} from './report.js';

const termMilliseconds = 3000;
const microsecondsPerMillisecond = 1000;
const nanosecondsPerMillisecond = 1_000_000;
const limits = {retentionMilliseconds: 600_000_000, maximumClaims: 10_000_000, maximumStoredBytes: 4_000_000_000};

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Gets the bytes of live objects. */
function getLiveBytes(): number {
	collectGarbage();
	return process.memoryUsage().heapUsed;
}

function time(repeats: number, run: () => void): number {
	const samples: number[] = [];
	for (let sample = 0; sample < 7; sample++) {
		const startedAt = performance.now();
		for (let repeat = 0; repeat < repeats; repeat++) {
			run();
		}

		samples.push((performance.now() - startedAt) / repeats * microsecondsPerMillisecond);
	}

	return getMedian(samples);
}

function getAnnouncement(number: number, services: number): Announcement {
	return announcementSchema.parse({
		service: `service-${number % services}`, name: `server-${number}`, host: '10.0.0.1', port: 8000, zone: `zone-${number % 3}`, slots: 6, connections: 250, boot: `boot-${number}`, state: 'warm',
	});
}

function getDocument(services: number): EnvironmentDocument {
	return documentSchema.parse({
		zones: [{name: 'zone-0'}, {name: 'zone-1'}, {name: 'zone-2'}], services: Array.from({length: services}, (_, index) => ({name: `service-${index}`, path: `/service-${index}`})),
	});
}

function createFilled(servers: number, services: number): Machine {
	const machine = createMachine(limits);
	machine.apply({
		area: 'configuration', command: {
			kind: 'apply', environment: 'production', base: 0, change: 'first', update: {kind: 'whole', document: getDocument(services)}, author: 'bench', at: 0,
		},
	});
	for (let number = 0; number < servers; number++) {
		machine.apply({area: 'registry', command: {kind: 'announced', announcement: getAnnouncement(number, services), at: 0}});
		machine.apply({area: 'registry', command: {kind: 'warmed', id: number + 1, at: 0}});
	}

	return machine;
}

function getRenewal(entry: string, sequence: number, grant: Grant | undefined): Renewal {
	return {
		kind: 'renewal', entry, environment: 'production', sequence, acknowledged: sequence - 1, version: grant?.version ?? 0, epoch: grant?.epoch ?? 0, revision: grant?.revision ?? 0, peersRevision: grant?.peersRevision ?? 0, observations: [], failedProbes: [], heard: [], crashes: [], peer: {name: entry, host: '10.0.0.2', port: 8082}, isFinal: false,
	};
}

/** Grants as the registry and the number of entries grow. */
function measureGrants(servers: number, entries: number): BenchRow {
	const machine = createFilled(servers, 2);
	const leadership = createLeadership({
		epoch: 2, startedAt: -10_000, termMilliseconds, machine, getWallClock: () => 0,
	});
	for (let id = 1; id <= servers; id++) {
		leadership.heard(id, 0);
	}

	let sequence = 0;
	const first = new Map<string, Grant>();
	for (let entry = 0; entry < entries; entry++) {
		first.set(`entry-${entry}`, leadership.grant(getRenewal(`entry-${entry}`, ++sequence, undefined), 0, 0));
	}

	const whole = [...first.values()][0]!;
	for (const [entry, grant] of first) {
		first.set(entry, leadership.grant(getRenewal(entry, ++sequence, grant), 0, 0));
	}

	let now = 0;
	let last: Grant | undefined;
	const names = [...first.keys()];
	const microseconds = time(names.length * 3, () => {
		sequence++;
		now += 0.01;
		const entry = names[sequence % names.length]!;
		last = leadership.grant(getRenewal(entry, sequence, first.get(entry)), now, now);
	});
	return {
		slope: 'grant', servers, entries, grantMicroseconds: microseconds, tickMicroseconds: time(5, () => {
			leadership.tick(now);
		}), steadyGrantBytes: encodeFrame(last).length, renewalBytes: encodeFrame(getRenewal('entry-1', 1, whole)).length, wholeGrantBytes: encodeFrame(whole).length,
	};
}

/** Documents as the number of services grows. */
function measureDocuments(services: number): BenchRow {
	const document = getDocument(services);
	const fleet = createFleet(createRandom(1));
	const changed = {...document, services: document.services.map((service, index) => index === 0 ? {...service, queueLength: 7} : service)};
	const update = getDocumentUpdate(document, changed);
	const decoded = decode(encode(update)) as DocumentUpdate;
	return {
		slope: 'document', services, bytes: encode(document).length, updateBytes: encode(update).length, makeUpdateMicroseconds: time(3, () => {
			getDocumentUpdate(document, changed);
		}), applyUpdateMicroseconds: time(3, () => {
			applyDocumentUpdate(document, decoded);
		}), checkMicroseconds: time(3, () => {
			documentSchema.parse(document);
		}), enforceMicroseconds: time(3, () => {
			createRouter(document.services);
			fleet.setDocument(document);
		}),
	};
}

/** Versions of a large document that differ in one service each, in memory and in a snapshot. */
function measureVersions(versions: number): BenchRow {
	const services = 1300;
	const before = getLiveBytes();
	const machine = createMachine(limits);
	let logBytes = 0;
	for (let base = 0; base < versions; base++) {
		const document = getDocument(services);
		const edited = {...document, services: document.services.map((service, index) => index === base ? {...service, queueLength: 7} : service)};
		const command = machine.register.shorten({
			kind: 'apply', environment: 'production', base, change: `change-${base}`, update: {kind: 'whole', document: edited}, author: 'bench', at: 0,
		});
		logBytes += encode(command).length;
		machine.apply({area: 'configuration', command: decode(encode(command)) as typeof command});
	}

	const heapBytes = getLiveBytes() - before;
	return {
		slope: 'versions', versions, services, logBytesForEach: logBytes / versions, heapMegabytes: heapBytes / 1_000_000, snapshotBytes: encode(machine.getImage()).length,
	};
}

/** An entry's view as the number of servers grows. */
function measureViews(servers: number): BenchRow {
	const before = getLiveBytes();
	const fleet = createFleet(createRandom(1));
	fleet.setDocument(getDocument(2));
	const views = Array.from({length: servers}, (_, index) => ({
		id: index + 1, announcement: getAnnouncement(index, 2), state: 'warm' as const, isAbsent: false, isRemoved: false,
	}));
	fleet.update(views, true);
	const bytes = (getLiveBytes() - before) / servers;
	return {
		slope: 'view', servers, changeMicroseconds: time(3, () => {
			fleet.update([views[0]!], false);
		}), observeMicroseconds: time(5, () => {
			fleet.takeObservations();
		}), bytesForEachServer: bytes,
	};
}

/** The choice of a server as the number of candidates grows. */
function measureChoices(candidates: number, policy: Policy): BenchRow {
	const all = Array.from({length: candidates}, (_, index) => createCandidate(index + 1, getAnnouncement(index, 1), 'warm'));
	const chooser = createChooser(policy, createRandom(1));
	return {
		slope: 'choice', policy, candidates, microseconds: time(2000, () => {
			chooser.choose({
				candidates: all, excluded: new Set(), zone: 'zone-0', avoidedZones: new Set(), now: 0,
			});
		}),
	};
}

/** One message of counts between entries. */
function measureCounts(servers: number): BenchRow {
	const reporter = createCountsReporter('entry-10');
	const counts = Array.from({length: servers}, (_, index) => ({server: index + 1, inFlight: 1}));
	const message = reporter.takeChanges(counts);
	const joint = createJointCounts();
	return {
		slope: 'counts', servers, bytes: encodeFrame(message).length, takeMicroseconds: time(200, () => {
			joint.receive(message!);
		}),
	};
}

/** Announcements that change nothing. */
function measureAnnouncements(servers: number): BenchRow {
	const machine = createFilled(servers, 2);
	const leadership = createLeadership({
		epoch: 2, startedAt: 0, termMilliseconds, machine, getWallClock: () => 0,
	});
	const announcement = getAnnouncement(1, 2);
	const text = JSON.stringify(announcement);
	return {
		slope: 'announcement', servers, microseconds: time(500, () => {
			const parsed = announcementSchema.parse(JSON.parse(text));
			machine.registry.isTransition(parsed);
			leadership.heard(2, 1);
		}), bytes: encodeFrame({kind: 'request', id: 1, request: {kind: 'announce', announcement}}).length,
	};
}

/** Claims in the ledger, and what they leave behind. */
function measureClaims(claims: number): BenchRow {
	const machine = createMachine(limits);
	const before = getLiveBytes();
	let next = 0;
	const startedAt = performance.now();
	for (; next < claims; next++) {
		const common = {
			shard: 0, key: `production/orders/key-${next}`, attempt: `attempt-${next}`, at: next,
		};
		machine.apply({area: 'ledger', command: {kind: 'claim', ...common, digest: 'a'.repeat(64)}});
		machine.apply({
			area: 'ledger', command: {
				kind: 'finish', ...common, answer: {status: 200, headers: ['content-type', 'text/plain'], body: new Uint8Array(256)},
			},
		});
	}

	const microseconds = (performance.now() - startedAt) / claims * microsecondsPerMillisecond;
	const bytes = (getLiveBytes() - before) / claims;
	const imageAt = performance.now();
	const image = encode(machine.getImage());
	return {
		slope: 'claim', claims, applyMicroseconds: microseconds, heapBytesForEach: bytes, snapshotMilliseconds: performance.now() - imageAt, snapshotBytesForEach: image.length / claims,
	};
}

/** A snapshot beside the running log, and the longest time for which it holds up the loop. */
async function measureSnapshots(claims: number): Promise<BenchRow> {
	const machine = createMachine(limits);
	for (let number = 0; number < claims; number++) {
		machine.apply({
			area: 'ledger', command: {
				kind: 'claim', shard: 0, key: `production/orders/key-${number}`, attempt: `attempt-${number}`, digest: 'a'.repeat(64), at: number,
			},
		});
	}

	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-slopes-'));
	const store = await openStore(folder, machineCodec);
	const delay = monitorEventLoopDelay({resolution: 1});
	delay.enable();
	const startedAt = performance.now();
	await store.prepareSnapshot({
		index: 1, term: 1, membership: {voters: ['a'], learners: []}, data: machine.getImage(),
	});
	const milliseconds = performance.now() - startedAt;
	delay.disable();
	await store.close();
	rmSync(folder, {recursive: true});
	return {
		slope: 'snapshot', claims, milliseconds, longestBlockMilliseconds: delay.max / nanosecondsPerMillisecond,
	};
}

/** Restart with changes piled up in the log. */
async function measureRestart(changes: number): Promise<BenchRow> {
	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-slopes-'));
	const store = await openStore(folder);
	const document = getDocument(2);
	for (let index = 1; index <= changes; index++) {
		const action: PersistAction = {
			kind: 'persistEntries', truncateFrom: index, entries: [{
				index, term: 1, payload: {
					kind: 'command', command: {
						area: 'configuration', command: {
							kind: 'apply', environment: 'production', base: index - 1, change: `change-${index}`, update: {kind: 'whole', document}, author: 'bench', at: 0,
						},
					},
				},
			}],
		};
		await store.persist([action]);
	}

	await store.close();
	const bytes = readdirSync(folder).reduce((sum, file) => sum + statSync(path.join(folder, file)).size, 0);
	const startedAt = performance.now();
	const reopened = await openStore(folder);
	const machine = createMachine(limits);
	for (const entry of reopened.initial.entries) {
		if (entry.payload.kind === 'command') {
			machine.apply(entry.payload.command as Parameters<Machine['apply']>[0]);
		}
	}

	const milliseconds = performance.now() - startedAt;
	await reopened.close();
	rmSync(folder, {recursive: true});
	return {
		slope: 'restart', changes, milliseconds, bytesForEach: bytes / changes,
	};
}

/** One entry that a follower takes after others, as the log grows between two snapshots. */
function measureAppends(entries: number): BenchRow {
	const payload = {kind: 'command' as const, command: undefined};
	const replica = createReplica({
		id: 'b',
		state: {term: 1, votedFor: undefined},
		snapshot: undefined,
		entries: Array.from({length: entries}, (_, index) => ({index: index + 1, term: 1, payload})),
		founders: {voters: ['a', 'b', 'c'], learners: []},
		electionMilliseconds: 300,
		heartbeatMilliseconds: 60,
		random: createRandom(1),
		now: 0,
	});
	let last = entries;
	const microseconds = time(100, () => {
		replica.handle({
			kind: 'received', from: 'a', message: {
				kind: 'append', term: 1, previousIndex: last, previousTerm: 1, entries: [{index: last + 1, term: 1, payload}], commitIndex: last, round: 0,
			},
		}, 0);
		last++;
	});
	return {slope: 'append', entries, microseconds};
}

/** Syncs of the log, alone and in groups. */
async function measureSyncs(group: number): Promise<BenchRow> {
	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-slopes-'));
	const store = await openStore(folder);
	const rounds = 60;
	const startedAt = performance.now();
	for (let round = 0; round < rounds; round++) {
		const first = (round * group) + 1;
		await store.persist([{
			kind: 'persistEntries', truncateFrom: first, entries: Array.from({length: group}, (_, index) => ({
				index: first + index, term: 1, payload: {
					kind: 'command' as const, command: {
						area: 'ledger', command: {
							kind: 'claim', shard: 0, key: `key-${first + index}`, attempt: 'a'.repeat(36), digest: 'a'.repeat(64), at: 0,
						},
					},
				},
			})),
		}]);
	}

	const milliseconds = (performance.now() - startedAt) / rounds;
	await store.close();
	rmSync(folder, {recursive: true});
	return {
		slope: 'sync', group, milliseconds, microsecondsForEach: milliseconds / group * microsecondsPerMillisecond,
	};
}

/**
 * Runs the bench.
 * @param options - Seed and length.
 */
export async function runSlopes(options: BenchOptions): Promise<BenchReport> {
	const rows: BenchRow[] = [];
	const targets: BenchTarget[] = [];
	const serverCounts = options.isQuick ? [35, 500, 2000] : [35, 200, 500, 1000, 2000, 5000, 17_000];
	const entryCounts = options.isQuick ? [3, 60] : [3, 15, 30, 60];
	rows.push(
		...serverCounts.map(servers => measureGrants(servers, 15)),
		...entryCounts.map(entries => measureGrants(35, entries)),
		...[2, 50, 300, 1300].map(services => measureDocuments(services)),
		...[1, 50].map(versions => measureVersions(versions)),
		...serverCounts.map(servers => measureViews(servers)),
		...[12, 35, 200, 2000].flatMap(candidates => [measureChoices(candidates, 'two-joint-choices'), measureChoices(candidates, 'least-in-flight')]),
		...[12, 35, 200].map(servers => measureCounts(servers)),
		...[100, 1000, 10_000].map(entries => measureAppends(entries)),
		measureAnnouncements(35),
		measureAnnouncements(2000),
		...[10_000, options.isQuick ? 50_000 : 200_000].map(claims => measureClaims(claims)),
	);
	for (const claims of [10_000, 200_000]) {
		rows.push(await measureSnapshots(claims));
	}

	for (const changes of [100, 1000, options.isQuick ? 2000 : 5000]) {
		const row = await measureRestart(changes);
		rows.push(row);
		if (changes === 1000) {
			targets.push(atMost('ms to read and apply 1,000 piled-up changes', 1000, Number(row.milliseconds)));
		}
	}

	for (const group of [1, 10, 100]) {
		rows.push(await measureSyncs(group));
	}

	return {
		bench: 'slopes', seed: options.seed, rows, targets,
	};
}
