import {describe, test} from 'node:test';
import {expect} from 'earl';
import {type Workspace} from '../configuration/index.js';
import {getAccess} from './access.js';
import {getKeyDigest} from './key-digest.js';
import {getRequestRank, type RouteRank} from './request-rank.js';
import {createWorkspaceIndex} from './workspace-index.js';

const first: RouteRank = {isUrgent: true, isOutranked: false, isFirst: true};
const last: RouteRank = {isUrgent: false, isOutranked: true, isFirst: false};

// Guards against routes that are ranked before workspaces.
describe('getRequestRank', () => {
	function doTest(priorities: readonly number[], route: RouteRank, expected: readonly [isUrgent: boolean, isOutranked: boolean]): void {
		const workspaces = priorities.map((priority, number): Workspace => ({name: `w${number}`, keyDigests: [getKeyDigest(`key-${number}`)], priority}));
		const index = createWorkspaceIndex(workspaces);
		const {isUrgent, isOutranked} = getRequestRank(index, getAccess(index, {key: 'key-0', isPublic: false}), route);
		expect([isUrgent, isOutranked]).toEqual([...expected]);
	}

	test('is that of the route where all workspaces have the same priority', () => {
		doTest([1, 1], first, [true, false]);
		doTest([1, 1], last, [false, true]);
	});
	test('is urgent for the first route of the most urgent workspace', () => {
		doTest([0, 1], first, [true, false]);
		doTest([0, 1], last, [false, true]);
	});
	test('is outranked for any route of a less urgent workspace', () => {
		doTest([2, 1], first, [false, true]);
		doTest([2, 1], last, [false, true]);
	});
	test('is urgent for the most urgent workspace where the service has a single route', () => {
		doTest([0, 1], {isUrgent: false, isOutranked: false, isFirst: true}, [true, false]);
	});
});
