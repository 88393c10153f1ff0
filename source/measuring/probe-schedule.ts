/**
 * Schedules the probes of an entry. A new duty waits for a full interval before its first probe, so that moving a duty between
 * entries never brings two probes close together. A duty that has missed a probe also waits for a full interval, since the
 * lease may have expired and another entry may have held the duty in the meantime.
 */

/** Schedule of the probes of an entry. */
export type ProbeSchedule = {
	/** Replaces the duties. */
	assign(servers: readonly number[], intervalMilliseconds: number, now: number): void;
	/** Gets the servers to probe now and schedules their next probes. */
	takeDue(now: number): readonly number[];
	getDuties(): readonly number[];
};

/** Creates a schedule without duties. */
export function createProbeSchedule(): ProbeSchedule {
	let dueAt = new Map<number, number>();
	let interval = Number.POSITIVE_INFINITY;

	return {
		assign(servers, intervalMilliseconds, now) {
			const isSlower = intervalMilliseconds > interval;
			interval = intervalMilliseconds;
			const next = new Map<number, number>();
			for (const server of servers) {
				const planned = isSlower ? undefined : dueAt.get(server);
				next.set(server, planned === undefined || planned < now ? now + interval : planned);
			}

			dueAt = next;
		},
		takeDue(now) {
			const due: number[] = [];
			for (const [server, time] of dueAt) {
				if (time <= now) {
					due.push(server);
					dueAt.set(server, now + interval);
				}
			}

			return due;
		},
		getDuties: () => [...dueAt.keys()],
	};
}
