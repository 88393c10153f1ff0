/**
 * Which servers are absent: those that have stopped announcing themselves, those that fail their probes, and those that were absent
 * under an earlier leader and have not announced themselves since.
 */
import {createLivenessTracker} from '../announcement/index.js';

/** Time without an announcement after which a server counts as absent, in milliseconds. */
const absenceTimeoutMilliseconds = 3500;

const failedProbesUntilAbsent = 3;

/** Presence of servers. */
export type ServerPresence = {
	isAbsent(id: number, now: number): boolean;
	/** Records that a server announced itself. */
	recordLiveness(id: number, now: number): void;
	/** Records a change of a server by a command; its failed probes still count. */
	recordChange(id: number, now: number): void;
	recordFailedProbe(id: number): void;
	/** Records that a server was absent under an earlier leader, unless it announced itself to this one. */
	recordEarlierAbsence(id: number, now: number): void;
	remove(id: number): void;
	/** Gets the servers that have not announced themselves for too long. */
	getExpired(now: number): readonly number[];
	getSilenceMilliseconds(id: number, now: number): number;
};

/**
 * Creates the presence of servers.
 * @param startedAt - Time from which the silence of the known servers counts.
 * @param known - Ids of the known servers.
 */
export function createServerPresence(startedAt: number, known: readonly number[]): ServerPresence {
	const livenessTracker = createLivenessTracker(startedAt, absenceTimeoutMilliseconds, known);
	const failedProbes = new Map<number, number>();
	const absentEarlier = new Set<number>();
	return {
		isAbsent: (id, now) => absentEarlier.has(id) || livenessTracker.isExpired(id, now) || (failedProbes.get(id) ?? 0) >= failedProbesUntilAbsent,
		recordLiveness(id, now) {
			livenessTracker.recordAnnouncement(id, now);
			failedProbes.delete(id);
			absentEarlier.delete(id);
		},
		recordChange(id, now) {
			livenessTracker.recordAnnouncement(id, now);
			absentEarlier.delete(id);
		},
		recordFailedProbe(id) {
			failedProbes.set(id, (failedProbes.get(id) ?? 0) + 1);
		},
		recordEarlierAbsence(id, now) {
			const hasAnnounced = livenessTracker.getSilenceMilliseconds(id, now) < now - startedAt;
			if (!hasAnnounced) {
				absentEarlier.add(id);
			}
		},
		remove(id) {
			livenessTracker.remove(id);
			failedProbes.delete(id);
			absentEarlier.delete(id);
		},
		getExpired: livenessTracker.getExpired,
		getSilenceMilliseconds: livenessTracker.getSilenceMilliseconds,
	};
}
