/**
 * Decides by its workspace how a request is admitted in a shortage: one whose workspace uses more than its share, or has a lower
 * priority than others, yields to the requests of the others. A workspace that is served far less often than the others does not yield.
 */
import {type Access} from '../../workspace/index.js';
import {type RequestContext} from '../requests/index.js';
import {type ServiceState} from '../fleet/index.js';

/** Why a request yields to others. */
export type YieldReason = 'above-share' | 'low-priority';

/** Admission of one request by its workspace. */
export type WorkspaceAdmission = {
	/** Checks whether the workspace uses more than its share. */
	isAboveShare(now: number): boolean;
	/** Gets why the request is refused at once, or undefined if servers may be queried for it. */
	getYieldReason(now: number): YieldReason | undefined;
	/** Records whether the queries for the request found spare capacity. */
	recordPlacement(hasSpareCapacity: boolean): void;
	/** Records whether a server was found for the request. */
	recordResult(isPlaced: boolean, now: number): void;
};

/** Options of `createWorkspaceAdmission`. */
export type WorkspaceAdmissionOptions = {
	readonly context: Pick<RequestContext, 'getWorkspaces' | 'isAboveShare' | 'random'>;
	readonly state: Pick<ServiceState, 'aboveShareThrottle' | 'lowPriorityThrottle' | 'workspaceService'>;
	readonly access: Access;
};

/**
 * Creates the admission of a request.
 * @param options - Access of the request, and what is known of the workspaces.
 */
export function createWorkspaceAdmission({context, state, access}: WorkspaceAdmissionOptions): WorkspaceAdmission {
	const {aboveShareThrottle, lowPriorityThrottle, workspaceService} = state;
	const workspace = access.kind === 'granted' ? access.workspace : undefined;

	function isLowPriority(): boolean {
		const mostUrgent = context.getWorkspaces()?.priorities.mostUrgent;
		return workspace !== undefined && mostUrgent !== undefined && (workspace.priority ?? 0) > mostUrgent;
	}

	function isStarved(now: number): boolean {
		return workspace !== undefined && workspaceService.isStarved(workspace.name, now);
	}

	function isAboveShare(now: number): boolean {
		return workspace !== undefined && context.isAboveShare(workspace.name) && !isStarved(now);
	}

	return {
		isAboveShare,
		getYieldReason(now) {
			if (isAboveShare(now) && !aboveShareThrottle.mayPlace(context.random())) {
				return 'above-share';
			}

			return isLowPriority() && !lowPriorityThrottle.mayPlace(context.random()) && !isStarved(now) ? 'low-priority' : undefined;
		},
		recordPlacement(hasSpareCapacity) {
			aboveShareThrottle.recordPlacement(hasSpareCapacity);
			if (!isLowPriority()) {
				lowPriorityThrottle.recordPlacement(hasSpareCapacity);
			}
		},
		recordResult(isPlaced, now) {
			if (workspace !== undefined) {
				workspaceService.record(workspace.name, isPlaced, now);
			}
		},
	};
}
