/**
 * Explores crashes of the storage: between any two changes of the disk, with any part of what was not synced lost, kept or torn, and
 * once more while the store recovers or goes on. Longer by hand: EXPLORATION_RUNS=500 node scripts/test.js source/storage/crash-exploration.test.ts
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
	createRecordedDisk, crashVariants, type CrashVariant, type FolderContents, type RecordedDisk,
} from '../../stand-in/recorded-disk.js';
import {type LogEntry} from '../consensus/index.js';
import {reserveName} from './space-reserve.js';
import {openStore, type PersistAction, type StoredState} from './index.js';

const seed = 101;
const runs = Number(process.env.EXPLORATION_RUNS ?? 12);

/** Step of a replica: a vote, new entries, a snapshot of its own, or one that a leader sent. */
type Step
	= | {readonly kind: 'vote'}
		| {readonly kind: 'append'; readonly count: number}
		| {readonly kind: 'snapshot'; readonly lag: number}
		| {readonly kind: 'install'; readonly lead: number};

/** What a replica has been told is stored: its term, and the terms of its entries by index. */
type Acknowledged = {readonly term: number; readonly lastIndex: number; readonly entries: ReadonlyMap<number, number>};

/** Result of running steps on a disk: what was acknowledged after how many changes. */
type Phase = {readonly disk: RecordedDisk; readonly acknowledged: ReadonlyArray<{readonly changes: number; readonly state: Acknowledged}>};

const step: fc.Arbitrary<Step> = fc.oneof(
	fc.record({kind: fc.constant('vote' as const)}),
	fc.record({kind: fc.constant('append' as const), count: fc.integer({min: 1, max: 3})}),
	fc.record({kind: fc.constant('snapshot' as const), lag: fc.integer({min: 0, max: 2})}),
	fc.record({kind: fc.constant('install' as const), lead: fc.integer({min: 1, max: 4})}),
);

function createSnapshot(index: number, term: number): PersistAction & {readonly kind: 'persistSnapshot'} {
	return {
		kind: 'persistSnapshot', snapshot: {
			index, term, membership: {voters: ['a'], learners: []}, data: {upTo: index},
		},
	};
}

/** Gets the action of a step, and what is stored after it. */
function getAction(before: Acknowledged, next: Step): {readonly action: PersistAction; readonly after: Acknowledged} {
	const {term, lastIndex, entries} = before;
	switch (next.kind) {
		case 'vote': {
			return {action: {kind: 'persistState', state: {term: term + 1, votedFor: 'b'}}, after: {...before, term: term + 1}};
		}

		case 'append': {
			const added: readonly LogEntry[] = Array.from({length: next.count}, (_, offset) => ({index: lastIndex + 1 + offset, term, payload: {kind: 'command', command: offset}}));
			return {
				action: {kind: 'persistEntries', entries: added, truncateFrom: lastIndex + 1},
				after: {term, lastIndex: lastIndex + next.count, entries: new Map([...entries, ...added.map(entry => [entry.index, entry.term] as const)])},
			};
		}

		case 'snapshot': {
			const index = Math.max(0, lastIndex - next.lag);
			return {action: createSnapshot(index, entries.get(index) ?? term), after: before};
		}

		case 'install': {
			const index = lastIndex + next.lead;
			return {action: createSnapshot(index, term), after: {term, lastIndex: index, entries: new Map([[index, term]])}};
		}
	}
}

function getAcknowledged({state, snapshot, entries}: StoredState): Acknowledged {
	return {
		term: state.term,
		lastIndex: entries.at(-1)?.index ?? snapshot?.index ?? 0,
		entries: new Map([...(snapshot === undefined ? [] : [[snapshot.index, snapshot.term] as const]), ...entries.map(entry => [entry.index, entry.term] as const)]),
	};
}

async function withFolder<Value>(run: (folder: string) => Promise<Value>): Promise<Value> {
	const folder = mkdtempSync(path.join(tmpdir(), 'guavadeck-crash-'));
	try {
		return await run(folder);
	} finally {
		rmSync(folder, {recursive: true});
	}
}

/** Opens a store on the given contents and runs steps; checks that everything acknowledged before is there. */
async function runPhase(contents: FolderContents, earlier: Acknowledged, steps: readonly Step[]): Promise<Phase> {
	return withFolder(async folder => {
		const disk = createRecordedDisk(folder, contents, reserveName);
		const store = await openStore(folder, undefined, disk.files);
		checkStored(store.storedState, earlier);
		let state = getAcknowledged(store.storedState);
		const acknowledged = [{changes: 0, state: earlier}, {changes: disk.getChangeCount(), state}];
		for (const next of steps) {
			const {action, after} = getAction(state, next);
			if (action.kind === 'persistSnapshot' && action.snapshot.index <= (store.storedState.snapshot?.index ?? 0)) {
				continue;
			}

			await store.persist([action]);
			state = after;
			acknowledged.push({changes: disk.getChangeCount(), state});
		}

		await store.close();
		return {disk, acknowledged};
	});
}

function checkStored({state, snapshot, entries}: StoredState, expected: Acknowledged): void {
	const snapshotIndex = snapshot?.index ?? 0;
	expect(state.term >= expected.term).toEqual(true);
	expect(entries.map(entry => entry.index)).toEqual(entries.map((_, offset) => snapshotIndex + 1 + offset));
	const missing = [...expected.entries].filter(([index, term]) => index > snapshotIndex && !entries.some(entry => entry.index === index && entry.term === term));
	expect(missing).toEqual([]);
}

function getAcknowledgedBefore({acknowledged}: Phase, changes: number): Acknowledged {
	return acknowledged.findLast(entry => entry.changes <= changes)!.state;
}

const nothing: Acknowledged = {term: 0, lastIndex: 0, entries: new Map()};
const continuation: readonly Step[] = [{kind: 'append', count: 1}, {kind: 'vote'}, {kind: 'append', count: 1}];

/** Crashes after every change of a phase, in every variant, and hands over what is left and what must still be there. */
async function forEachCrash(phase: Phase, variants: readonly CrashVariant[], run: (contents: FolderContents, expected: Acknowledged) => Promise<void>): Promise<void> {
	for (let changes = 0; changes <= phase.disk.getChangeCount(); changes++) {
		for (const variant of variants) {
			await run(phase.disk.getContentsAfterCrash(changes, variant), getAcknowledgedBefore(phase, changes));
		}
	}
}

describe('openStore after crashes at any point', () => {
	async function doTest(steps: readonly Step[]): Promise<void> {
		const first = await runPhase(new Map(), nothing, steps);
		await forEachCrash(first, crashVariants, async (contents, expected) => {
			const second = await runPhase(contents, expected, continuation);
			const changes = second.disk.getChangeCount();
			const last = getAcknowledgedBefore(second, changes);
			await runPhase(second.disk.getContentsAfterCrash(changes, 'none'), last, []);
		});
	}

	async function doTestTwice(steps: readonly Step[]): Promise<void> {
		const first = await runPhase(new Map(), nothing, steps);
		await forEachCrash(first, ['none', 'all'], async (contents, expected) => {
			const second = await runPhase(contents, expected, continuation.slice(0, 1));
			await forEachCrash(second, ['none', 'torn'], async (later, expectedLater) => {
				await runPhase(later, expectedLater, []);
			});
		});
	}

	test('keeps all that was acknowledged, and goes on', {timeout: 600_000}, async () => {
		await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 1, maxLength: 5}), doTest), {seed, numRuns: runs});
	});
	test('keeps all that was acknowledged when it crashes again while it recovers or goes on', {timeout: 600_000}, async () => {
		await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 1, maxLength: 3}), doTestTwice), {seed, numRuns: Math.ceil(runs / 4)});
	});
	// The find of the review: a snapshot of a leader is installed, and its file is there without the new log.
	test('keeps what is appended after a crash within the installation of a snapshot', {timeout: 600_000}, async () => doTest([{kind: 'append', count: 2}, {kind: 'install', lead: 4}]));
});
