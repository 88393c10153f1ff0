/**
 * Ranks a request among those of its service: by the priority of its workspace, then by that of its route. Without workspaces, or when
 * all of them have the same priority, only the route counts.
 */
import {type Access} from './access.js';
import {getWorkspacePriority, type WorkspaceIndex} from './workspace-index.js';

/** Rank of a request or a route among those of its service. */
export type RequestRank = {
	/** Whether it has the most urgent of several ranks. */
	readonly isUrgent: boolean;
	/** Whether a more urgent rank exists. */
	readonly isOutranked: boolean;
};

/** Rank of a route among the routes to its services. */
export type RouteRank = RequestRank & {
	/** Whether no route to one of its services is more urgent. */
	readonly isFirst: boolean;
};

/**
 * Gets the rank of a request.
 * @param index - Workspaces of the document in force, if it has any.
 * @param access - Access of the request.
 * @param route - Rank of its route.
 */
export function getRequestRank(index: WorkspaceIndex | undefined, access: Access, route: RouteRank): RequestRank {
	if (index === undefined || access.kind !== 'granted') {
		return route;
	}

	const {mostUrgent, leastUrgent} = index.priorities;
	if (mostUrgent === leastUrgent) {
		return route;
	}

	const isFirst = getWorkspacePriority(access.workspace) === mostUrgent;
	return {isUrgent: isFirst && route.isFirst, isOutranked: !isFirst || route.isOutranked};
}
