/** Measures the cost of restarts, appends and syncs for the replicated log. */
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
import {createDocument, ledgerLimits} from './fixtures.js';
import {measureMicroseconds, microsecondsPerMillisecond} from './measuring.js';

/** Measures the time to read and apply a log with a number of document changes, as after a restart, and its size. */
export async function measureRestart(changeCount: number): Promise<BenchRow> {
	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-slopes-'));
	const store = await openStore(folder);
	const document = createDocument(2);
	for (let index = 1; index <= changeCount; index++) {
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
	const logBytes = readdirSync(folder).reduce((sum, file) => sum + statSync(path.join(folder, file)).size, 0);
	const startedAt = performance.now();
	const reopenedStore = await openStore(folder);
	const stateMachine = createStateMachine(ledgerLimits);
	for (const entry of reopenedStore.storedState.entries) {
		if (entry.payload.kind === 'command') {
			stateMachine.apply(entry.payload.command as Parameters<StateMachine['apply']>[0]);
		}
	}

	const milliseconds = performance.now() - startedAt;
	await reopenedStore.close();
	rmSync(folder, {recursive: true});
	return {
		slope: 'restart', changes: changeCount, milliseconds, bytesForEach: logBytes / changeCount,
	};
}

/** Measures the time in which a follower appends one entry to a log with a number of entries after the last snapshot. */
export function measureAppends(entryCount: number): BenchRow {
	const payload = {kind: 'command' as const, command: undefined};
	const replica = createReplica({
		id: 'b',
		state: {term: 1, votedFor: undefined},
		snapshot: undefined,
		entries: Array.from({length: entryCount}, (_, index) => ({index: index + 1, term: 1, payload})),
		founders: {voters: ['a', 'b', 'c'], learners: []},
		electionMilliseconds: 300,
		heartbeatMilliseconds: 60,
		random: createRandom(1),
		now: 0,
	});
	let lastIndex = entryCount;
	const appendMicroseconds = measureMicroseconds(100, () => {
		replica.handle({
			kind: 'received', from: 'a', message: {
				kind: 'append', term: 1, previousIndex: lastIndex, previousTerm: 1, entries: [{index: lastIndex + 1, term: 1, payload}], commitIndex: lastIndex, round: 0,
			},
		}, 0);
		lastIndex++;
	});
	return {slope: 'append', entries: entryCount, microseconds: appendMicroseconds};
}

/** Measures the time to write and sync a batch with a number of entries. */
export async function measureSyncs(batchSize: number): Promise<BenchRow> {
	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-slopes-'));
	const store = await openStore(folder);
	const batchCount = 60;
	const startedAt = performance.now();
	for (let batch = 0; batch < batchCount; batch++) {
		const firstIndex = (batch * batchSize) + 1;
		await store.persist([{
			kind: 'persistEntries', truncateFrom: firstIndex, entries: Array.from({length: batchSize}, (_, index) => ({
				index: firstIndex + index, term: 1, payload: {
					kind: 'command' as const, command: {
						area: 'ledger', command: {
							kind: 'claim', shard: 0, key: `key-${firstIndex + index}`, attempt: 'a'.repeat(36), digest: 'a'.repeat(64), at: 0,
						},
					},
				},
			})),
		}]);
	}

	const millisecondsPerSync = (performance.now() - startedAt) / batchCount;
	await store.close();
	rmSync(folder, {recursive: true});
	return {
		slope: 'sync', group: batchSize, milliseconds: millisecondsPerSync, microsecondsForEach: millisecondsPerSync / batchSize * microsecondsPerMillisecond,
	};
}
