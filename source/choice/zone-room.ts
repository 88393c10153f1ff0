/**
 * Estimates for each zone how likely one of its servers has room and answers at about the usual speed, from the load that servers
 * reported lately. An estimate that is not renewed returns to the usual value, so that a zone that was full is tried again.
 */

/** Weight of the newest reading in the moving average, which covers about the last twelve readings. */
const smoothingFactor = 0.08;

/** Share of servers that are not slowed down by other processes of their hosts. */
const usualShare = 0.7;

/** Time constant of the return to the usual share, in milliseconds. */
const retentionMilliseconds = 1000;

/** Estimates of the room in zones. */
export type ZoneRoom = {
	/** Records whether a server that was queried has room and answers in time. */
	record(zone: string, hasRoom: boolean, now: number): void;
	/** Gets the share of the servers of a zone that have room and answer in time. */
	getShare(zone: string, now: number): number;
};

type Estimate = {share: number; at: number};

/** Creates estimates without readings. */
export function createZoneRoom(): ZoneRoom {
	const estimates = new Map<string, Estimate>();

	function getShare(zone: string, now: number): number {
		const estimate = estimates.get(zone);
		return estimate === undefined ? usualShare : usualShare + ((estimate.share - usualShare) * Math.exp((estimate.at - now) / retentionMilliseconds));
	}

	return {
		record(zone, hasRoom, now) {
			const share = getShare(zone, now);
			estimates.set(zone, {share: share + (((hasRoom ? 1 : 0) - share) * smoothingFactor), at: now});
		},
		getShare,
	};
}
