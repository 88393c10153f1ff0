import {
	appendFileSync, mkdtempSync, readdirSync, readFileSync, rmSync, truncateSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {type LogEntry} from '../consensus/index.js';
import {
	CorruptionError, openDataFolder, openSeededFolder, openStore, type PersistAction, type StoredState,
} from './index.js';

function entry(index: number, term: number, command: unknown = index): LogEntry {
	return {index, term, payload: {kind: 'command', command}};
}

function append(...entries: readonly LogEntry[]): PersistAction {
	return {kind: 'persistEntries', entries, truncateFrom: entries[0]!.index};
}

const state: PersistAction = {kind: 'persistState', state: {term: 3, votedFor: 'b'}};
const snapshot = {
	kind: 'persistSnapshot', snapshot: {
		index: 2, term: 1, membership: {voters: ['a'], learners: []}, data: {sum: 3},
	},
} as const satisfies PersistAction;

async function withTemporaryFolder(run: (folder: string) => Promise<void>): Promise<void> {
	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-store-'));
	try {
		await run(folder);
	} finally {
		rmSync(folder, {recursive: true});
	}
}

async function persist(folder: string, batches: ReadonlyArray<readonly PersistAction[]>): Promise<void> {
	const store = await openStore(folder);
	for (const batch of batches) {
		await store.persist(batch);
	}

	await store.close();
}

async function reopen(folder: string): Promise<StoredState> {
	const store = await openStore(folder);
	await store.close();
	return store.storedState;
}

function getLogFile(folder: string): string {
	return path.join(folder, readdirSync(folder).findLast(name => name.startsWith('log-'))!);
}

describe('openStore', () => {
	async function doTest(batches: ReadonlyArray<readonly PersistAction[]>, context: TestContext): Promise<void> {
		await withTemporaryFolder(async folder => {
			await persist(folder, batches);
			expect({stored: await reopen(folder), files: readdirSync(folder)}).toMatchSnapshot(context);
		});
	}

	test('starts empty', async t => doTest([], t));
	test('keeps the hard state and entries', async t => doTest([[state, append(entry(1, 1), entry(2, 1))], [append(entry(3, 3))]], t));
	test('replaces a conflicting tail', async t => doTest([[append(entry(1, 1), entry(2, 1), entry(3, 1))], [append(entry(2, 2))]], t));
	test('keeps the tail after a snapshot', async t => doTest([[state, append(entry(1, 1), entry(2, 1), entry(3, 1))], [snapshot, append(entry(4, 3))]], t));
	test('discards a log that does not reach the received snapshot', async t => doTest([[append(entry(1, 1))], [snapshot], [append(entry(3, 3))]], t));
});

describe('openStore after a crash', () => {
	async function doTest(removedBytes: number, expectedEntries: number): Promise<void> {
		await withTemporaryFolder(async folder => {
			await persist(folder, [[append(entry(1, 1))], [append(entry(2, 1))]]);
			const file = getLogFile(folder);
			truncateSync(file, readFileSync(file).length - removedBytes);
			const stored = await reopen(folder);
			expect(stored.entries.length).toEqual(expectedEntries);
			await persist(folder, [[append(entry(expectedEntries + 1, 2))]]);
			const reopened = await reopen(folder);
			expect(reopened.entries.map(({index}) => index)).toEqual(Array.from({length: expectedEntries + 1}, (_, index) => index + 1));
		});
	}

	test('keeps a complete last batch', async () => doTest(0, 2));
	for (const removedBytes of [1, 5, 20, 40]) {
		test(`truncates a last batch that lacks ${removedBytes} bytes`, async () => doTest(removedBytes, 1));
	}

	test('truncates zeros that a file system left after the last batch', async () => withTemporaryFolder(async folder => {
		await persist(folder, [[append(entry(1, 1))]]);
		appendFileSync(getLogFile(folder), new Uint8Array(64));
		const {entries} = await reopen(folder);
		expect(entries.length).toEqual(1);
	}));

	test('ignores a temporary snapshot file', async () => withTemporaryFolder(async folder => {
		await persist(folder, [[append(entry(1, 1))]]);
		writeFileSync(path.join(folder, 'snapshot-000000000000009.bin.new'), 'half');
		const stored = await reopen(folder);
		expect(stored.snapshot).toEqual(undefined);
	}));

	// Guards against the loss of synced entries: a kill between the file of a snapshot and the new log left an old log, and entries appended to it were dropped later.
	describe('between the file of a snapshot and the new log', () => {
		async function doTest(logBeforeCrash: readonly LogEntry[]): Promise<void> {
			await withTemporaryFolder(async folder => {
				const crashed = await openStore(folder);
				await crashed.persist([state, append(...logBeforeCrash)]);
				await crashed.prepareSnapshot({...snapshot.snapshot, index: 7});
				await crashed.close();
				await persist(folder, [[append(entry(8, 3))], [append(entry(9, 3))]]);
				const stored = await reopen(folder);
				expect([stored.state.term, stored.snapshot?.index, stored.entries.map(({index}) => index)]).toEqual([3, 7, [8, 9]]);
			});
		}

		test('keeps later entries if the log ends before the snapshot', async () => doTest([entry(1, 1), entry(2, 1)]));
		test('keeps later entries if the log contradicts the snapshot', async () => doTest([1, 2, 3, 4, 5, 6, 7].map(index => entry(index, index < 6 ? 1 : 2))));
		test('keeps later entries if the log reaches the snapshot', async () => doTest([1, 2, 3, 4, 5, 6, 7].map(index => entry(index, 1))));
	});

	test('rejects a damaged record before the last one', async () => withTemporaryFolder(async folder => {
		await persist(folder, [[append(entry(1, 1))], [append(entry(2, 1))]]);
		const file = getLogFile(folder);
		const bytes = readFileSync(file);
		bytes[30] = 255 - bytes[30]!;
		writeFileSync(file, bytes);
		await expect(openStore(folder)).toBeRejectedWith(CorruptionError);
	}));
});

describe('openDataFolder', () => {
	async function doTest(isFounding: boolean, pattern: RegExp): Promise<void> {
		await withTemporaryFolder(async folder => {
			const first = await openDataFolder(folder, 'one', isFounding);
			const opened = first.unwrapOrElse(error => {
				throw new Error(error);
			});
			expect(pattern.test(opened.replica)).toEqual(true);
			const second = await openDataFolder(folder, 'one', isFounding);
			expect(second.isErr).toEqual(true);
			opened.unlock();
			const secondFounding = await openDataFolder(folder, 'one', true);
			expect(secondFounding.isErr).toEqual(true);
			const reopened = await openDataFolder(folder, 'one', false);
			expect(reopened.map(({replica}) => replica).unwrapOr('')).toEqual(opened.replica);
			if (reopened.isOk) {
				reopened.value.unlock();
			}
		});
	}

	test('gives a founder an identity derived from its name, and locks and keeps it', async () => doTest(true, /^one:founder$/v));
	test('gives an empty folder a random identity', async () => doTest(false, /^one:[\da-f]{16}$/v));
});

describe('openSeededFolder', () => {
	type Start = {readonly name: string; readonly founders: readonly string[]};

	function doTest(starts: readonly Start[], expected: {readonly isFounder: boolean; readonly founders: readonly string[]}): void {
		const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-folder-'));
		try {
			const opened = starts.map(start => openSeededFolder(folder, start)).at(-1)!;
			expect({isFounder: opened.replica.endsWith(':founder'), founders: opened.founders}).toEqual({...expected, founders: [...expected.founders]});
		} finally {
			rmSync(folder, {recursive: true});
		}
	}

	const seeds = ['10.0.0.1:7', '10.0.0.2:7'];

	test('lets a seed found the system on its first start', () => {
		doTest([{name: '10.0.0.1:7', founders: seeds}], {isFounder: true, founders: ['10.0.0.1:7:founder', '10.0.0.2:7:founder']});
	});
	test('keeps the founding members when later settings list others', () => {
		doTest([{name: '10.0.0.1:7', founders: seeds}, {name: '10.0.0.1:7', founders: ['10.0.0.9:7']}], {isFounder: true, founders: ['10.0.0.1:7:founder', '10.0.0.2:7:founder']});
	});
	test('lets a seed that lost its disk join under a random identity', () => {
		doTest([{name: '10.0.0.1:7', founders: []}], {isFounder: false, founders: []});
	});
	test('lets a host that is not a seed join under a random identity', () => {
		doTest([{name: '10.0.0.3:7', founders: seeds}], {isFounder: false, founders: []});
	});
});
