/** Probes the servers that are assigned to this entry while its lease is valid. */
import {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {createProbeSchedule, type ProbeSchedule} from '../../measuring/index.js';
import {discardBody} from '../../bytes/index.js';
import {hasFinalStatus} from '../http/index.js';
import {startServerRequest} from '../servers/index.js';
import {type Fleet} from './fleet.js';

/** Time from the start of a probe until its connection is closed, unless the server has responded. */
const probeTimeoutMilliseconds = 1000;

/** Limits of the body of a response, which is not used. */
const responseLimits = {maximumBytes: 16_384, maximumMilliseconds: probeTimeoutMilliseconds};

/** Sends health probes to servers. */
export type Prober = {
	readonly schedule: ProbeSchedule;
	/** Sends the probes that are due. */
	tick(): void;
	/** Returns the ids of the servers whose probes failed since the last call. */
	takeFailedServers(): readonly number[];
};

/** Options of a prober. */
export type ProberOptions = {
	readonly fleet: Fleet;
	/** Checks whether the lease allows probes. */
	mayProbe(now: number): boolean;
	/** Called with the result of each probe. */
	onResult(isHealthy: boolean): void;
	/** Called with the connection of each probe, and the availability zone of its server. */
	onConnect?(socket: Socket, zone: string): void;
};

/**
 * Creates a prober to which no servers are assigned yet.
 * @param options - Fleet, check of the lease, and callback for results.
 */
export function createProber(options: ProberOptions): Prober {
	const schedule = createProbeSchedule();
	let failed: number[] = [];

	function recordResult(id: number, isHealthy: boolean): void {
		options.onResult(isHealthy);
		if (!isHealthy) {
			failed.push(id);
		}
	}

	function probe(id: number): void {
		const server = options.fleet.get(id);
		if (server === undefined) {
			return;
		}

		const {
			host, port, probePath, zone,
		} = server.candidate.getAnnouncement();
		let isSettled = false;
		function settle(isHealthy: boolean): void {
			if (!isSettled) {
				isSettled = true;
				recordResult(id, isHealthy);
			}
		}

		const started = startServerRequest({
			host, port, path: probePath, method: 'GET', agent: false,
		});
		if (started.isErr) {
			settle(false);
			return;
		}

		const request = started.value;
		request.once('socket', socket => {
			options.onConnect?.(socket, zone);
		});
		request.once('response', answer => {
			clearTimeout(timer);
			discardBody(answer, responseLimits);
			settle(hasFinalStatus(answer) && answer.statusCode! < 500);
		});
		const timer = setTimeout(() => {
			request.destroy();
		}, probeTimeoutMilliseconds);
		request.once('error', () => {
			settle(false);
		});
		request.once('close', () => {
			clearTimeout(timer);
			settle(false);
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
