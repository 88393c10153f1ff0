import {describe, test} from 'node:test';
import {expect} from 'earl';
import {type Workspace} from '../configuration/index.js';
import {getAccess, isAccessValid, updateAccess} from './access.js';
import {getKeyDigest} from './key-digest.js';
import {createWorkspaceIndex, type WorkspaceIndex} from './workspace-index.js';

const clinic: Workspace = {name: 'clinic', keyDigests: [getKeyDigest('one'), getKeyDigest('two')]};
const shop: Workspace = {name: 'shop', keyDigests: [getKeyDigest('three')]};
const index = createWorkspaceIndex([clinic, shop]);

// Guards against requests that are served for the wrong workspace, or without a key.
describe('getAccess', () => {
	function doTest(request: {readonly key: string | string[] | undefined; readonly isPublic?: boolean}, expected: string, workspaces: WorkspaceIndex | undefined = index): void {
		const access = getAccess(workspaces, {isPublic: false, ...request});
		expect(access.kind === 'granted' ? `granted ${access.workspace.name}` : access.kind).toEqual(expected);
	}

	test('grants each key of a workspace', () => {
		doTest({key: 'one'}, 'granted clinic');
		doTest({key: 'two'}, 'granted clinic');
		doTest({key: 'three'}, 'granted shop');
	});
	test('denies an unknown, an empty, a repeated and a missing key', () => {
		for (const key of ['four', '', ['one', 'three'], undefined]) {
			doTest({key}, 'denied');
		}
	});
	test('denies the digest of a key', () => {
		doTest({key: getKeyDigest('one')}, 'denied');
	});
	test('lets requests of a public route pass without a known key, and finds the workspace of a known one', () => {
		doTest({key: undefined, isPublic: true}, 'anonymous');
		doTest({key: 'four', isPublic: true}, 'anonymous');
		doTest({key: 'one', isPublic: true}, 'granted clinic');
	});
	test('does not look at keys of a document without workspaces', () => {
		expect(getAccess(undefined, {key: 'one', isPublic: false}).kind).toEqual('open');
	});
});

// Guards against waiting requests that are sent although their key was withdrawn meanwhile.
describe('isAccessValid', () => {
	function doTest(next: readonly Workspace[] | undefined, expected: boolean): void {
		const access = getAccess(index, {key: 'one', isPublic: false});
		expect(isAccessValid(next === undefined ? undefined : createWorkspaceIndex(next), access)).toEqual(expected);
	}

	test('accepts a key that is still in force', () => {
		doTest([clinic], true);
		doTest(undefined, true);
	});
	test('rejects a withdrawn key', () => {
		doTest([{...clinic, keyDigests: [getKeyDigest('two')]}], false);
		doTest([shop], false);
	});
	test('rejects a key that now belongs to another workspace', () => {
		doTest([{...shop, keyDigests: clinic.keyDigests}], false);
	});
});

// Guards against an empty list of workspaces that is taken for none, so that every key is accepted.
describe('getAccess: an empty list of workspaces', () => {
	test('denies every key', () => {
		expect(['one', undefined].map(key => getAccess(createWorkspaceIndex([]), {key, isPublic: false}).kind)).toEqual(['denied', 'denied']);
	});
	test('has no priorities that are not numbers', () => {
		expect(createWorkspaceIndex([]).priorities).toEqual({mostUrgent: 0, leastUrgent: 0});
	});
});

// Guards against keys that are passed on to servers, by requests that waited while the first workspaces came.
describe('updateAccess', () => {
	function doTest(before: WorkspaceIndex | undefined, key: string | undefined, after: WorkspaceIndex | undefined, expected: string, isPublic = false): void {
		const request = {key, isPublic};
		const access = updateAccess(after, getAccess(before, request), request);
		expect(access.kind === 'granted' ? `granted ${access.workspace.name}` : access.kind).toEqual(expected);
	}

	test('keeps what is still valid', () => {
		doTest(undefined, 'one', undefined, 'open');
		doTest(index, 'one', createWorkspaceIndex([clinic]), 'granted clinic');
		doTest(index, undefined, index, 'anonymous', true);
	});
	test('decides anew when the first workspaces come', () => {
		doTest(undefined, 'one', index, 'granted clinic');
		doTest(undefined, 'four', index, 'denied');
		doTest(undefined, undefined, index, 'denied');
		doTest(undefined, undefined, index, 'anonymous', true);
		doTest(undefined, 'one', createWorkspaceIndex([]), 'denied');
	});
	test('denies a withdrawn key, also when the last workspace is gone', () => {
		doTest(index, 'one', createWorkspaceIndex([shop]), 'denied');
		doTest(index, 'one', createWorkspaceIndex([]), 'denied');
	});
	test('keeps the workspace when the list is left out', () => {
		doTest(index, 'one', undefined, 'granted clinic');
	});
});
