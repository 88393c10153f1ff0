/**
 * Measures how often the requests of each workspace were placed lately, compared with those of all. In a shortage, requests of
 * workspaces that use more than their share go last; a workspace that is refused far more often than the others nevertheless gets
 * servers now and then, so that its callers notice that the service is there.
 */

import {createRecentCounts} from './recent-counts.js';

/** Time constant of the decay of the counts, in milliseconds. */
const retentionMilliseconds = 2000;

/** Share of the mean below which a workspace counts as starved. */
const starvedShare = 0.25;

/** Placements of the requests of workspaces. */
export type WorkspaceService = {
	/** Records whether a request was placed. */
	record(workspace: string, isPlaced: boolean, now: number): void;
	/** Checks whether requests of a workspace are placed less than a quarter as often as those of all. */
	isStarved(workspace: string, now: number): boolean;
};

/** Key of the counts of all workspaces together; no workspace has an empty name. */
const all = '';

/** Creates a record without requests. */
export function createWorkspaceService(): WorkspaceService {
	const requests = createRecentCounts(retentionMilliseconds);
	const placements = createRecentCounts(retentionMilliseconds);

	function getPlacedShare(workspace: string, now: number): number {
		return placements.get(workspace, now) / requests.get(workspace, now);
	}

	return {
		record(workspace, isPlaced, now) {
			for (const key of [workspace, all]) {
				requests.add(key, now);
				if (isPlaced) {
					placements.add(key, now);
				}
			}
		},
		isStarved: (workspace, now) => requests.get(workspace, now) > 0 && getPlacedShare(workspace, now) < starvedShare * getPlacedShare(all, now),
	};
}
