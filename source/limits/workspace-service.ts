/**
 * Measures how often the requests of each workspace were placed lately, compared with those of all. In a shortage, requests of
 * workspaces that use more than their share go last; a workspace that is refused far more often than the others nevertheless gets
 * servers now and then, so that its callers notice that the service is there.
 */

/** Time constant of the decay of the counts, in milliseconds. */
const retentionMilliseconds = 2000;

/** Share of the mean below which a workspace counts as starved. */
const starvedShare = 0.25;

/** Number of workspaces above which those without recent requests are forgotten. */
const maximumWorkspaces = 1000;

/** Count below which a workspace has no recent requests. */
const negligibleCount = 0.01;

/** Placements of the requests of workspaces. */
export type WorkspaceService = {
	/** Records whether a request was placed. */
	record(workspace: string, isPlaced: boolean, now: number): void;
	/** Checks whether requests of a workspace are placed less than a quarter as often as those of all. */
	isStarved(workspace: string, now: number): boolean;
};

/** Counts that decay over time. */
type Counts = {requests: number; placed: number; decayedAt: number};

function decay(counts: Counts, now: number): Counts {
	const factor = Math.exp((counts.decayedAt - now) / retentionMilliseconds);
	counts.requests *= factor;
	counts.placed *= factor;
	counts.decayedAt = now;
	return counts;
}

function add(counts: Counts, isPlaced: boolean, now: number): void {
	decay(counts, now);
	counts.requests++;
	counts.placed += isPlaced ? 1 : 0;
}

/** Creates a record without requests. */
export function createWorkspaceService(): WorkspaceService {
	const total: Counts = {requests: 0, placed: 0, decayedAt: 0};
	const byWorkspace = new Map<string, Counts>();

	function forgetOld(now: number): void {
		for (const [workspace, counts] of byWorkspace) {
			if (decay(counts, now).requests < negligibleCount) {
				byWorkspace.delete(workspace);
			}
		}
	}

	return {
		record(workspace, isPlaced, now) {
			const counts = byWorkspace.get(workspace) ?? {requests: 0, placed: 0, decayedAt: now};
			byWorkspace.set(workspace, counts);
			add(counts, isPlaced, now);
			add(total, isPlaced, now);
			if (byWorkspace.size > maximumWorkspaces) {
				forgetOld(now);
			}
		},
		isStarved(workspace, now) {
			const counts = byWorkspace.get(workspace);
			if (counts === undefined) {
				return false;
			}

			const {requests, placed} = decay(counts, now);
			decay(total, now);
			return requests > 0 && placed / requests < starvedShare * total.placed / total.requests;
		},
	};
}
