/**
 * The prober's schedule in an entry. A new duty waits a whole interval before its
 * first probe, so that a hand-over never brings two probes close together.
 */

/** Times at which an entry probes. */
export type ProbeSchedule = {
	/** Replaces the duties. */
	assign(servers: readonly number[], intervalMilliseconds: number, now: number): void;
	/** Gets the servers to probe now and plans their next probe. */
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
				next.set(server, planned ?? now + interval);
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
