/** Probes the servers that are this entry's duty, under its lease. */
import {request as startRequest} from 'node:http';
import {performance} from 'node:perf_hooks';
import {createProbeSchedule, type ProbeSchedule} from '../measuring/index.js';
import {type Fleet} from './fleet.js';

const probeTimeoutMilliseconds = 1000;

/** Probes servers. */
export type Prober = {
	readonly schedule: ProbeSchedule;
	/** Sends the probes that are due. */
	tick(): void;
	/** Takes the servers whose probes failed since the last call. */
	takeFailedServers(): readonly number[];
};

/** Options of a prober. */
export type ProberOptions = {
	readonly fleet: Fleet;
	mayProbe(now: number): boolean;
	recordProbe(isHealthy: boolean): void;
};

/**
 * Creates a prober without duties.
 * @param options - Fleet, lease and the function that takes results.
 */
export function createProber(options: ProberOptions): Prober {
	const schedule = createProbeSchedule();
	let failed: number[] = [];

	function finish(id: number, isHealthy: boolean): void {
		options.recordProbe(isHealthy);
		if (!isHealthy) {
			failed.push(id);
		}
	}

	function probe(id: number): void {
		const server = options.fleet.get(id);
		if (server === undefined) {
			return;
		}

		const {host, port, probePath} = server.candidate.getAnnouncement();
		let isFinished = false;
		function end(isHealthy: boolean): void {
			if (!isFinished) {
				isFinished = true;
				finish(id, isHealthy);
			}
		}

		const request = startRequest({
			host, port, path: probePath, method: 'GET', agent: false, timeout: probeTimeoutMilliseconds,
		});
		request.once('response', answer => {
			answer.resume();
			end((answer.statusCode ?? 500) < 500);
		});
		request.once('timeout', () => {
			request.destroy();
		});
		request.once('error', () => {
			end(false);
		});
		request.once('close', () => {
			end(false);
		});
		request.end();
	}

	return {
		schedule,
		tick() {
			const now = performance.now();
			if (!options.mayProbe(now)) {
				return;
			}

			for (const id of schedule.takeDue(now)) {
				probe(id);
			}
		},
		takeFailedServers() {
			const taken = failed;
			failed = [];
			return taken;
		},
	};
}
