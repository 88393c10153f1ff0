import {describe, test} from 'node:test';
import {expect} from 'earl';
import {type Workspace} from '../../configuration/index.js';
import {createAdmissionThrottle, createWorkspaceService} from '../../limits/index.js';
import {createWorkspaceIndex, type Access} from '../../workspace/index.js';
import {createWorkspaceAdmission, type WorkspaceAdmission, type YieldReason} from './workspace-admission.js';

const small: Workspace = {name: 'small', keyDigests: ['1']};
const hot: Workspace = {name: 'hot', keyDigests: ['2']};
const patient: Workspace = {name: 'patient', keyDigests: ['3'], priority: 1};

describe('createWorkspaceAdmission', () => {
	function createAdmissions(workspaces: readonly Workspace[]): (access: Access) => WorkspaceAdmission {
		const index = createWorkspaceIndex(workspaces);
		const state = {aboveShareThrottle: createAdmissionThrottle(), lowPriorityThrottle: createAdmissionThrottle(), workspaceService: createWorkspaceService()};
		return access => createWorkspaceAdmission({
			context: {getWorkspaces: () => index, isAboveShare: name => name === hot.name, random: () => 0.5}, state, access,
		});
	}

	function getAccess(workspace: Workspace): Access {
		return {kind: 'granted', workspace, digest: workspace.keyDigests[0]!};
	}

	type Placement = {readonly workspace: Workspace; readonly hasSpareCapacity: boolean};

	/** Places some requests, and checks why one of a workspace is refused. */
	function doTest(placements: readonly Placement[], workspace: Workspace, expected: YieldReason | undefined, placedShare = 1): void {
		const create = createAdmissions([small, hot, patient]);
		for (const [index, placement] of placements.entries()) {
			const admission = create(getAccess(placement.workspace));
			admission.recordPlacement(placement.hasSpareCapacity);
			admission.recordResult(placement.workspace === small || index % 10 < placedShare * 10, index);
		}

		expect(create(getAccess(workspace)).getYieldReason(placements.length)).toEqual(expected);
	}

	const short: readonly Placement[] = Array.from({length: 20}, (_, index) => ({workspace: [small, hot, patient][index % 3]!, hasSpareCapacity: false}));
	const calm: readonly Placement[] = short.map(placement => ({...placement, hasSpareCapacity: true}));

	test('lets every workspace pass while there is spare capacity', () => {
		doTest(calm, small, undefined);
		doTest(calm, hot, undefined);
		doTest(calm, patient, undefined);
	});
	test('lets a workspace above its share, and one of a lower priority, yield in a shortage', () => {
		doTest(short, small, undefined);
		doTest(short, hot, 'above-share');
		doTest(short, patient, 'low-priority');
	});
	// Guards against a workspace that is not served at all for as long as others use the capacity.
	test('lets no workspace yield that is placed less than a quarter as often as all', () => {
		doTest(short, hot, undefined, 0);
		doTest(short, patient, undefined, 0);
	});
	test('lets requests of a lower priority yield only if urgent ones find no spare capacity', () => {
		doTest([...calm, ...Array.from({length: 20}, () => ({workspace: patient, hasSpareCapacity: false}))], patient, undefined);
	});
	test('does not concern requests without a workspace', () => {
		const create = createAdmissions([small, hot, patient]);
		const admission = create({kind: 'open'});
		for (let index = 0; index < 20; index++) {
			admission.recordPlacement(false);
			admission.recordResult(false, index);
		}

		expect([admission.getYieldReason(20), admission.isAboveShare(20)]).toEqual([undefined, false]);
	});
});
