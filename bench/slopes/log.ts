/** Slopes of the replicated log: restarts, appends and syncs. */
import {
	mkdtempSync, rmSync, statSync, readdirSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import {createReplica} from '../../source/consensus/index.js';
import {createStateMachine, type StateMachine} from '../../source/control/index.js';
import {createRandom} from '../../source/randomness/index.js';
import {openStore, type PersistAction} from '../../source/storage/index.js';
import {type BenchRow} from '../report.js';
import {createDocument, ledgerLimits} from './sample.js';
import {measureMicroseconds, microsecondsPerMillisecond} from './measuring.js';

/** Restart with changes piled up in the log. */
export async function measureRestart(changes: number): Promise<BenchRow> {
	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-slopes-'));
	const store = await openStore(folder);
	const document = createDocument(2);
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
	const machine = createStateMachine(ledgerLimits);
	for (const entry of reopened.initial.entries) {
		if (entry.payload.kind === 'command') {
			machine.apply(entry.payload.command as Parameters<StateMachine['apply']>[0]);
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
export function measureAppends(entries: number): BenchRow {
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
	const microseconds = measureMicroseconds(100, () => {
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
export async function measureSyncs(group: number): Promise<BenchRow> {
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
