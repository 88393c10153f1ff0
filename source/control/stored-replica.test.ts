import {
	mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createRecordedLog, type RecordedLog} from '../../stand-in/recorded-log.js';
import {documentSchema, type EnvironmentDocument} from '../configuration/index.js';
import {type Snapshot} from '../consensus/index.js';
import {controlSettingsSchema, type ControlSettings} from '../settings/index.js';
import {getStateFolder, openStore} from '../storage/index.js';
import {createHostDiscovery} from './host-discovery.js';
import {createStateMachine, stateMachineCodec, type StateMachineSnapshot} from './state-machine.js';
import {openStoredReplica, type StoredReplica} from './stored-replica.js';

const limits = {
	retentionMilliseconds: 1000, maximumClaims: 10, maximumAnswerBytes: 1000, maximumStoredBytes: 1000,
};
const snapshotIndex = 9;
const half = '🎉'.slice(0, 1);
const document = documentSchema.parse({zones: [{name: 'a'}], services: [{name: 'stock'}]});

function getSettings(dataFolder: string, otherHosts: readonly string[]): ControlSettings {
	const hosts = ['a', ...otherHosts].map((name, index) => ({name, host: '127.0.0.1', port: 7000 + index}));
	return controlSettingsSchema.parse({
		name: 'a', zone: 'north', dataFolder, control: hosts, links: {host: '127.0.0.1', port: 7000}, api: {host: '127.0.0.1', port: 7100},
	});
}

function addRoute(name: string): EnvironmentDocument {
	return {
		...document,
		routes: [{
			name, path: '/', parts: [{service: 'stock', weight: 1}], isIdempotent: true, timeoutMilliseconds: 1000, targetMilliseconds: 200, priority: 0, attempts: 2,
		}],
	};
}

/** Takes the snapshot of a host that accepted the documents as versions 1, 2 and so on. */
function takeSnapshot(documents: readonly EnvironmentDocument[]): StateMachineSnapshot {
	const machine = createStateMachine(limits);
	for (const [index, declared] of documents.entries()) {
		machine.apply({
			area: 'configuration', command: {
				kind: 'declare', environment: 'production', version: index + 1, document: declared, source: '', author: 'ann', at: 1,
			},
		}, index + 1);
	}

	return machine.takeSnapshot();
}

async function writeSnapshot(dataFolder: string, data: StateMachineSnapshot): Promise<void> {
	const store = await openStore(getStateFolder(dataFolder), stateMachineCodec);
	const snapshot: Snapshot = {
		index: snapshotIndex, term: 3, membership: {voters: ['a:founder', 'b:founder'], learners: []}, data,
	};
	await store.persist([{kind: 'persistState', state: {term: 3, votedFor: 'b:founder'}}]);
	await store.persist([{kind: 'persistSnapshot', snapshot}]);
	await store.close();
}

type Opened = {readonly replica: StoredReplica; readonly log: RecordedLog};

/** Opens the replica of host a on a data folder of the founder a. */
async function open(dataFolder: string, otherHosts: readonly string[]): Promise<Opened> {
	const settings = getSettings(dataFolder, otherHosts);
	const log = createRecordedLog();
	const discovery = createHostDiscovery(settings, false);
	const opened = await discovery.openFolder();
	const folder = opened.unwrapOrElse(error => {
		throw new Error(error);
	});
	try {
		const replica = await openStoredReplica({
			settings, discovery, folder, limits, log,
		});
		await replica.store.close();
		return {replica, log};
	} finally {
		folder.unlock();
	}
}

async function withFolder(run: (dataFolder: string) => Promise<void>): Promise<void> {
	const dataFolder = mkdtempSync(path.join(tmpdir(), 'guavadeck-stored-'));
	mkdirSync(dataFolder, {recursive: true});
	writeFileSync(path.join(dataFolder, 'identity'), 'a:founder\n');
	try {
		await run(dataFolder);
	} finally {
		rmSync(dataFolder, {recursive: true});
	}
}

function getSnapshotFile(dataFolder: string): string {
	const folder = getStateFolder(dataFolder);
	return path.join(folder, readdirSync(folder).find(name => name.startsWith('snapshot-'))!);
}

function damage(file: string): void {
	const bytes = readFileSync(file);
	bytes.fill(0xFF, 20, 40);
	writeFileSync(file, bytes);
}

// Guards against hosts that end at each start on a disk that an earlier release wrote.
describe('openStoredReplica: texts that the disk has replaced', () => {
	async function doTest(documents: readonly EnvironmentDocument[], expectedNames: readonly string[], expectedReplaced: readonly number[]): Promise<void> {
		await withFolder(async dataFolder => {
			await writeSnapshot(dataFolder, takeSnapshot(documents));
			const {replica: {self, machine}, log} = await open(dataFolder, ['b']);
			const names = machine.register.getHistory('production').map(version => version.document.routes?.[0]?.name);
			const replaced = log.lines.find(line => line.replacedVersions !== undefined)?.replacedVersions ?? [];
			expect({self, names, replaced}).toEqual({self: 'a:founder', names: [...expectedNames], replaced: expectedReplaced.map(version => ({environment: 'production', version}))});
		});
	}

	test('are restored as the other hosts received them, with a warning', async () => {
		const replacedName = `sale${'\uFFFD'.repeat(3)}`;
		await doTest([addRoute('look'), addRoute(`sale${half}`), addRoute('look')], ['look', replacedName, 'look'], [2]);
	});
	test('are no cause for a warning where there are none', async () => doTest([addRoute('look'), addRoute('sale🎉')], ['look', 'sale🎉'], []));
});

// Guards against hosts that end at each start although others hold the state, and against votes of a host that has lost its own.
describe('openStoredReplica: state that cannot be read', () => {
	test('is set aside, and the host joins the others as a new replica', async () => withFolder(async dataFolder => {
		await writeSnapshot(dataFolder, takeSnapshot([document]));
		damage(getSnapshotFile(dataFolder));
		const {replica: {self, store, founders}, log} = await open(dataFolder, ['b']);
		expect([store.storedState.state.term, store.storedState.snapshot, store.storedState.entries]).toEqual([0, undefined, []]);
		expect(founders.voters.includes(self)).toEqual(false);
		expect(log.lines[0]).toEqual({
			err: expect.a(Error), replica: 'a:founder', newReplica: self, asideFolder: path.join(dataFolder, 'unreadable'), isWarning: true,
			message: 'the stored state cannot be read; it was set aside, and this host joins the others as a new replica without any state',
		});
		expect(readFileSync(path.join(dataFolder, 'unreadable', 'identity'), 'utf8')).toEqual('a:founder\n');
		expect(readdirSync(path.join(dataFolder, 'unreadable', 'log')).some(name => name.startsWith('snapshot-'))).toEqual(true);
		const again = await open(dataFolder, ['b']);
		expect(again.replica.self).toEqual(self);
	}));
	test('is set aside when only the state machine cannot read it', async () => withFolder(async dataFolder => {
		const snapshot = takeSnapshot([document, {...document, measuring: {...document.measuring, probesPerSecond: 7}}]);
		const production = snapshot.register.production.map(version => ({...version, update: version.update.kind === 'delta' ? {...version.update, delta: {...version.update.delta, digest: 'other'}} : version.update}));
		await writeSnapshot(dataFolder, {...snapshot, register: {...snapshot.register, production}});
		const {replica: {self, machine}} = await open(dataFolder, ['b']);
		expect([self === 'a:founder', machine.register.getHistory('production')]).toEqual([false, []]);
	}));
	test('ends the start of the only host, and stays where it is', async () => withFolder(async dataFolder => {
		await writeSnapshot(dataFolder, takeSnapshot([document]));
		damage(getSnapshotFile(dataFolder));
		await expect(open(dataFolder, [])).toBeRejectedWith(/damaged/v);
		expect(readdirSync(dataFolder).toSorted()).toEqual(['identity', 'log']);
	}));
});
