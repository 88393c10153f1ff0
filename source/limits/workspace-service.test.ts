import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createWorkspaceService} from './index.js';

describe('createWorkspaceService', () => {
	/** Records requests 10 ms apart, every second one of workspace `a`, and checks whether it is starved some time later. */
	function doTest(isPlaced: (workspace: 'a' | 'b', index: number) => boolean, expected: boolean, laterMilliseconds = 0): void {
		const service = createWorkspaceService();
		const count = 200;
		for (let index = 0; index < count; index++) {
			const workspace = index % 2 === 0 ? 'a' : 'b';
			service.record(workspace, isPlaced(workspace, index), index * 10);
		}

		expect(service.isStarved('a', (count * 10) + laterMilliseconds)).toEqual(expected);
	}

	test('calls a workspace starved whose requests are never placed while others are', () => {
		doTest(workspace => workspace === 'b', true);
	});
	test('calls no workspace starved that is placed half as often', () => {
		doTest((workspace, index) => workspace === 'b' || index % 6 < 2, false);
	});
	test('calls no workspace starved when nothing is placed', () => {
		doTest(() => false, false);
	});
	test('calls no workspace starved without requests', () => {
		expect(createWorkspaceService().isStarved('a', 0)).toEqual(false);
	});
	test('forgets workspaces without recent requests', () => {
		const service = createWorkspaceService();
		service.record('old', false, 0);
		for (let index = 0; index < 1001; index++) {
			service.record(`w${index}`, true, 20_000);
		}

		expect([service.isStarved('old', 20_000), service.isStarved('w0', 20_000)]).toEqual([false, false]);
	});
});
