/**
 * Applies what servers state about themselves in their responses: that they are cold, how loaded they are, that they leave, and
 * that they want no requests for a while. Nobody but the server knows this earlier, so it counts whatever the control hosts report.
 */
import {performance} from 'node:perf_hooks';
import {type Candidate} from '../../choice/index.js';
import {type Log} from '../../telemetry/index.js';
import {type ServerReport} from '../dialect.js';
import {type EntryMetrics} from '../reporting/index.js';
import {type Fleet} from './fleet.js';

/** Options of `createReportHandler`. */
export type ReportHandlerOptions = {
	readonly fleet: Fleet;
	readonly metrics: EntryMetrics;
	readonly log: Log;
};

/**
 * Creates a function that applies the report of a response to the server that was asked.
 * @param options - Servers, metrics and log.
 */
export function createReportHandler({fleet, metrics, log}: ReportHandlerOptions): (candidate: Candidate, report: ServerReport) => void {
	function applyCold(candidate: Candidate, coldMilliseconds: number): void {
		const hasRateLimitedWarmUp = fleet.getState(candidate.getAnnouncement().service)?.getService().warmUp !== undefined;
		candidate.markCold(hasRateLimitedWarmUp ? performance.now() + coldMilliseconds : undefined);
	}

	function applyLeaving(candidate: Candidate): void {
		const {name, service} = candidate.getAnnouncement();
		if (fleet.markLeaving(candidate)) {
			metrics.countWithdrawal(service, 'leaving');
			log.info({server: name, service}, 'server says that it leaves; it gets no more requests');
		}
	}

	function applyPause(candidate: Candidate, milliseconds: number): void {
		const {name, service} = candidate.getAnnouncement();
		const now = performance.now();
		const wasPaused = candidate.getPausedUntil() > now;
		if (!candidate.pause(now + milliseconds) || wasPaused) {
			return;
		}

		metrics.countWithdrawal(service, 'pause');
		log.info({server: name, service, milliseconds}, 'server wants a pause; it gets no requests for that time');
		logPauseEnd(candidate);
	}

	/** Logs the end of a pause, which further responses may have extended. */
	function logPauseEnd(candidate: Candidate): void {
		setTimeout(() => {
			if (candidate.getPausedUntil() > performance.now()) {
				logPauseEnd(candidate);
				return;
			}

			const {name, service} = candidate.getAnnouncement();
			log.info({server: name, service}, 'the pause of a server has ended');
		}, candidate.getPausedUntil() - performance.now()).unref();
	}

	return (candidate, {server, coldMilliseconds = 0, load, isLeaving, pauseMilliseconds}) => {
		if (server !== undefined && server !== candidate.getAnnouncement().name) {
			// Another server has taken over the address and speaks for itself.
			return;
		}

		if (coldMilliseconds > 0) {
			applyCold(candidate, coldMilliseconds);
		}

		if (load !== undefined) {
			candidate.recordReading(load, performance.now());
			fleet.getState(candidate.getAnnouncement().service)?.hedging?.loads.record(candidate, load);
		}

		if (isLeaving) {
			applyLeaving(candidate);
		}

		if (pauseMilliseconds !== undefined) {
			applyPause(candidate, pauseMilliseconds);
		}
	};
}
