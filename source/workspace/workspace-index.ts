/** Finds the workspaces of a document by the digests of their keys. */
import {type Workspace} from '../configuration/index.js';

/** Workspaces by the digests of their keys. */
export type WorkspaceIndex = {
	/** Gets the workspace that a key belongs to. */
	get(digest: string): Workspace | undefined;
	/** Most and least urgent priority of the workspaces; the lowest number is the most urgent. Both are 0 if there are none. */
	readonly priorities: {readonly mostUrgent: number; readonly leastUrgent: number};
};

/**
 * Gets the priority of a workspace.
 * @param workspace - Workspace of a document.
 */
export function getWorkspacePriority({priority = 0}: Workspace): number {
	return priority;
}

/**
 * Creates the index of a document.
 * @param workspaces - Workspaces of the document.
 */
export function createWorkspaceIndex(workspaces: readonly Workspace[]): WorkspaceIndex {
	const byDigest = new Map(workspaces.flatMap(workspace => workspace.keyDigests.map(digest => [digest, workspace] as const)));
	const priorities = workspaces.map(workspace => getWorkspacePriority(workspace));
	return {
		get: digest => byDigest.get(digest),
		priorities: priorities.length === 0 ? {mostUrgent: 0, leastUrgent: 0} : {mostUrgent: Math.min(...priorities), leastUrgent: Math.max(...priorities)},
	};
}
