import {describe, test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {getStoredCopy} from '../../stand-in/stored-copy.js';
import {createRandom} from '../randomness/index.js';
import {
	createRegister, documentSchema, getEarlierDigest, withZone, type ConfigurationCommand, type DocumentUpdate, type EnvironmentDocument,
} from './index.js';

const document = documentSchema.parse({zones: [{name: 'a'}, {name: 'b'}], services: [{name: 'stock'}]});

function apply(base: number, change: string, newDocument: EnvironmentDocument = document): Extract<ConfigurationCommand, {readonly kind: 'apply'}> {
	return {
		kind: 'apply', environment: 'trial', base, change, update: {kind: 'whole', document: newDocument}, author: 'ann', at: 1,
	};
}

function promote(source: number, base: number, change: string): ConfigurationCommand {
	return {
		kind: 'promote', source, base, change, author: 'ann', at: 2,
	};
}

describe('createRegister', () => {
	function doTest(commands: readonly ConfigurationCommand[], context: TestContext): void {
		let register = createRegister();
		const results = commands.map(command => {
			const snapshot = getStoredCopy(register.takeSnapshot());
			register = createRegister();
			register.restore(snapshot);
			return register.apply(command);
		});
		expect(results).toMatchSnapshot(context);
	}

	test('accepts a change based on the current version', t => {
		doTest([apply(0, '1'), apply(1, '2')], t);
	});
	test('rejects a change based on an old version', t => {
		doTest([apply(0, '1'), apply(0, '2')], t);
	});
	test('returns the first result for a resent change', t => {
		doTest([apply(0, '1'), apply(1, '2'), apply(0, '1')], t);
	});
	test('returns the first result for a resent change that was rejected', t => {
		doTest([apply(3, '1'), apply(0, '2'), apply(3, '1')], t);
	});
	test('promotes a trial version', t => {
		doTest([apply(0, '1'), apply(1, '2'), promote(1, 0, '3')], t);
	});
	test('rejects the promotion of an unknown version', t => {
		doTest([promote(4, 0, '1')], t);
	});
});

// Guards against a snapshot that no control host can read again, which stops all of them at their next start.
describe('createRegister: declared documents of any form', () => {
	const route = {
		name: 'look', path: '/', isIdempotent: true, parts: [{service: 'stock', weight: 1}], timeoutMilliseconds: 1000, targetMilliseconds: 200, attempts: 2,
	};
	const limits = {
		headerBytes: 16_384, bodyBytes: 16_384, headerMilliseconds: 1000, idleMilliseconds: 1000,
	};
	const full = documentSchema.parse({...document, routes: [route], clientLimits: limits});
	const {routes: _routes, ...withoutRoutes} = full;
	const {clientLimits: _limits, ...withoutLimits} = full;
	const doubled: EnvironmentDocument = {...full, services: [full.services[0]!, {...full.services[0]!, connections: 7}]};

	function doTest(documents: readonly EnvironmentDocument[]): void {
		const register = createRegister();
		for (const [index, declared] of documents.entries()) {
			register.apply({
				kind: 'declare', environment: 'production', version: index + 1, document: declared, source: '', author: 'ann', at: 1,
			});
		}

		const restored = createRegister();
		restored.restore(getStoredCopy(register.takeSnapshot()));
		expect(restored.getHistory('production').map(version => version.document)).toEqual([...documents]);
	}

	test('are restored when the limits are left out', () => {
		doTest([full, withoutLimits, full]);
	});
	test('are restored when the routes are left out', () => {
		doTest([full, withoutRoutes, full]);
	});
	test('are restored when the workspaces are left out, and when their list is empty', () => {
		const withWorkspace: EnvironmentDocument = {...full, workspaces: [{name: 'clinic', keyDigests: []}]};
		doTest([full, {...full, workspaces: []}, full, withWorkspace, {...full, workspaces: []}, withWorkspace, full]);
	});
	test('are restored when a service is listed twice', () => {
		doTest([full, doubled, full]);
	});
});

// Guards against hosts whose register differs from that of hosts of an earlier release, or that cannot read its snapshot.
describe('createRegister: deltas of earlier releases to an empty list of workspaces', () => {
	const closed: EnvironmentDocument = {...document, workspaces: []};
	const update: DocumentUpdate = {
		kind: 'delta', delta: {
			zones: undefined, measuring: undefined, outliers: undefined, services: [], removed: [], order: undefined, workspaces: {changed: [], removed: [], order: undefined}, digest: getEarlierDigest(closed),
		},
	};

	test('are applied', () => {
		const register = createRegister();
		register.apply(apply(0, '1'));
		const {kind} = register.apply({...apply(1, '2'), update});
		expect([kind, register.getHistory('trial').at(-1)!.document.workspaces]).toEqual(['accepted', []]);
	});
	test('are restored from snapshots', () => {
		const register = createRegister();
		register.apply(apply(0, '1'));
		const snapshot = register.takeSnapshot();
		const restored = createRegister();
		restored.restore(getStoredCopy({...snapshot, trial: [...snapshot.trial, {...snapshot.trial[0]!, version: 2, update}]}));
		expect(restored.getHistory('trial').map(version => version.document.workspaces)).toEqual([undefined, []]);
	});
});

describe('createRegister: commands encoded as deltas', () => {
	const changedDocument = {...document, measuring: {...document.measuring, probesPerSecond: 9}};

	function doTest(command: ConfigurationCommand, expected: {readonly update: string; readonly result: string}): void {
		const register = createRegister();
		register.apply(apply(0, '1'));
		register.apply(apply(1, '2', withZone(document, 'b', false)));
		const encoded = register.encodeAsDelta(command);
		const restored = createRegister();
		restored.restore(getStoredCopy(register.takeSnapshot()));
		const results = [register.apply(encoded), restored.apply(command)];
		expect(encoded.kind === 'apply' ? encoded.update.kind : '').toEqual(expected.update);
		expect(results.map(result => result.kind)).toEqual([expected.result as 'accepted', expected.result as 'accepted']);
		expect(register.getHistory('trial')).toEqual(restored.getHistory('trial'));
	}

	test('have the same effect', () => {
		doTest(apply(2, '3', changedDocument), {update: 'delta', result: 'accepted'});
	});
	test('carry the complete document on an old base, and are rejected', () => {
		doTest(apply(1, '3', changedDocument), {update: 'whole', result: 'conflict'});
	});
	test('are rejected if another change was accepted first', () => {
		const register = createRegister();
		register.apply(apply(0, '1'));
		const encoded = register.encodeAsDelta(apply(1, '2', changedDocument));
		register.apply(apply(1, '3', withZone(document, 'b', false)));
		expect(register.apply(encoded).kind).toEqual('conflict');
	});
});

describe('createRegister: operators that race and resend', () => {
	test('accepts one change for each version, in increasing order of versions', () => {
		const random = createRandom(7);
		const register = createRegister();
		const changeByVersion = new Map<number, string>();
		let highestVersion = 0;
		const sentCommands: Array<ReturnType<typeof apply>> = [];
		for (let step = 0; step < 5000; step++) {
			const isResent = sentCommands.length > 0 && random() < 0.3;
			const base = Math.max(0, register.getCurrentNumber('trial') - Math.floor(random() * 3));
			const command = isResent ? sentCommands[Math.floor(random() * sentCommands.length)]! : apply(base, `c${step}`, withZone(document, 'a', random() < 0.5));
			sentCommands.push(command);
			const result = register.apply(command);
			if (result.kind === 'accepted') {
				expect(changeByVersion.get(result.version) ?? command.change).toEqual(command.change);
				changeByVersion.set(result.version, command.change);
			}

			expect(register.getCurrentNumber('trial') >= highestVersion).toEqual(true);
			highestVersion = register.getCurrentNumber('trial');
		}

		expect(changeByVersion.size).toEqual(highestVersion);
	});
});
