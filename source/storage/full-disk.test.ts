import {
	mkdtempSync, readdirSync, rmSync, statSync, truncateSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createLimitedFiles, type LimitedFiles} from '../../stand-in/limited-files.js';
import {type LogEntry} from '../consensus/index.js';
import {
	isDiskFull, openStore, type PersistAction, type Store,
} from './index.js';

function append(...indexes: readonly number[]): PersistAction {
	const entries: readonly LogEntry[] = indexes.map(index => ({index, term: 1, payload: {kind: 'command', command: index}}));
	return {kind: 'persistEntries', entries, truncateFrom: indexes[0]!};
}

function snapshotAt(index: number): PersistAction {
	return {
		kind: 'persistSnapshot', snapshot: {
			index, term: 1, membership: {voters: ['a'], learners: []}, data: {sum: index},
		},
	};
}

const batches: ReadonlyArray<readonly PersistAction[]> = [
	[{kind: 'persistState', state: {term: 1, votedFor: 'a'}}],
	[append(1, 2), append(3)],
	[append(4), snapshotAt(3)],
	[append(5)],
];

async function withTemporaryFolder(run: (folder: string) => Promise<void>): Promise<void> {
	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-full-'));
	try {
		await run(folder);
	} finally {
		rmSync(folder, {recursive: true});
	}
}

describe('a store on a full disk', () => {
	/** Persists all batches; a batch that the full disk refuses is repeated after the disk accepts writes again. */
	async function persistAll(store: Store, disk: LimitedFiles): Promise<number> {
		let refusals = 0;
		for (const batch of batches) {
			try {
				await store.persist(batch);
			} catch (error) {
				expect(isDiskFull(error)).toEqual(true);
				refusals++;
				disk.refuseAfter(Number.POSITIVE_INFINITY);
				await store.persist(batch);
			}
		}

		return refusals;
	}

	async function doTest(refuseAfter: number): Promise<number> {
		let refusals = 0;
		await withTemporaryFolder(async folder => {
			const disk = createLimitedFiles();
			const store = await openStore(folder, undefined, disk.files);
			disk.refuseAfter(refuseAfter);
			refusals = await persistAll(store, disk);
			await store.close();
			const {storedState} = await openStore(folder);
			expect([storedState.state.term, storedState.snapshot?.index, storedState.entries.map(entry => entry.index)]).toEqual([1, 3, [4, 5]]);
			expect(readdirSync(folder).filter(name => name.endsWith('.new'))).toEqual([]);
		});
		return refusals;
	}

	test('loses nothing, whichever write is the first that is refused', async () => {
		let refuseAfter = 0;
		while (await doTest(refuseAfter) > 0) {
			refuseAfter++;
		}

		expect(refuseAfter > 10).toEqual(true);
	});
	// Guards against synced entries that the next start drops, because a record before them was lost by a failed sync.
	test('keeps what is stored after a sync that failed and lost its data', async () => {
		await withTemporaryFolder(async folder => {
			const disk = createLimitedFiles();
			const store = await openStore(folder, undefined, disk.files);
			await store.persist([append(1)]);
			const log = path.join(folder, readdirSync(folder).find(name => name.startsWith('log-'))!);
			const syncedBytes = statSync(log).size;
			// The write succeeds, the sync after it does not.
			disk.refuseAfter(1);
			await expect(store.persist([append(2)])).toBeRejected();
			truncateSync(log, syncedBytes);
			disk.refuseAfter(Number.POSITIVE_INFINITY);
			await store.persist([append(2)]);
			await store.persist([append(3)]);
			await store.close();
			const {storedState} = await openStore(folder);
			expect(storedState.entries.map(entry => entry.index)).toEqual([1, 2, 3]);
		});
	});
	test('keeps what an earlier process stored when it cannot be opened yet', async () => {
		await withTemporaryFolder(async folder => {
			const store = await openStore(folder);
			await store.persist([append(1, 2)]);
			await store.close();
			const disk = createLimitedFiles();
			disk.setFull(true);
			const reopened = await openStore(folder, undefined, disk.files);
			expect(reopened.storedState.entries.length).toEqual(2);
			await reopened.close();
		});
	});
	test('still writes a snapshot when the log has taken all space, and frees the log', async () => {
		await withTemporaryFolder(async folder => {
			const disk = createLimitedFiles({quota: {folder, bytes: 400_000}});
			const store = await openStore(folder, undefined, disk.files);
			let index = 0;
			for (;;) {
				index++;
				try {
					await store.persist([{kind: 'persistEntries', entries: [{index, term: 1, payload: {kind: 'command', command: 'x'.repeat(20_000)}}], truncateFrom: index}]);
				} catch {
					break;
				}
			}

			expect(index > 5).toEqual(true);
			await store.persist([snapshotAt(index)]);
			await store.persist([append(index + 1)]);
			await store.close();
			const {storedState} = await openStore(folder);
			expect([storedState.snapshot?.index, storedState.entries.map(entry => entry.index)]).toEqual([index, [index + 1]]);
		});
	});
});
