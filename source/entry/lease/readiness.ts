/** Tells whether an entry may send requests and whether it is ready for callers, by its lease and its document. */
import {performance} from 'node:perf_hooks';
import {createSuspensionDetector, isSuspension, type LeaseHolder} from '../../lease/index.js';
import {type QuotaTokens} from '../../quota/index.js';
import {type SlackPart} from '../../retry/index.js';
import {type Log} from '../../telemetry/index.js';
import {type EntryState} from '../entry-state.js';
import {type Fleet} from '../fleet/index.js';

/** Readiness of an entry. */
export type Readiness = {
	/** Revokes the permits for cold servers, the part of the slack and the tokens of quotas when the lease has ended or the host was suspended. */
	revokePermitsIfNeeded(): void;
	/** Checks whether permits for which a renewal was sent at a time may be used: not if the host was suspended since, because they may have ended meanwhile. */
	mayUsePermits(renewedAt: number): boolean;
	/** Checks whether the entry may accept and dispatch requests. */
	mayDispatch(now: number): boolean;
	isReady(): boolean;
	/** Logs a change of the readiness since the last call. */
	logChange(): void;
};

/** Options of `createReadiness`. */
export type ReadinessOptions = {
	readonly state: EntryState;
	readonly fleet: Fleet;
	/** Part of the slack that entries share; undefined if they share none. */
	readonly slackPart?: Pick<SlackPart, 'revoke'> | undefined;
	/** Tokens of quotas; undefined in tests without any. */
	readonly quotaTokens?: Pick<QuotaTokens, 'revoke'> | undefined;
	readonly lease: LeaseHolder;
	readonly log: Log;
	/** Called when a suspension, or a step of the wall clock, has revoked the permits. */
	onSuspension?(): void;
	/** Whether the entry goes on to send requests after its lease has ended. */
	readonly isServingWithoutControl: boolean;
};

/**
 * Creates the readiness of an entry.
 * @param options - State, servers and lease of the entry.
 */
export function createReadiness(options: ReadinessOptions): Readiness {
	const {
		state, fleet, slackPart, quotaTokens, lease, log, isServingWithoutControl,
	} = options;
	const suspension = createSuspensionDetector();
	let suspendedAt = Number.NEGATIVE_INFINITY;
	let wasReady = false;

	function revoke(): void {
		fleet.revokePermits();
		slackPart?.revoke();
		quotaTokens?.revoke();
	}

	function revokePermitsIfNeeded(): void {
		const now = performance.now();
		const jump = suspension.getJump(Date.now(), now);
		if (jump > 0) {
			lease.addSuspension(jump);
		}

		if (isSuspension(jump)) {
			suspendedAt = now;
			revoke();
			options.onSuspension?.();
		} else if (!lease.isValid(now)) {
			revoke();
		}
	}

	function isReady(): boolean {
		return !state.isDraining && state.document !== undefined && (isServingWithoutControl || lease.isValid(performance.now()));
	}

	return {
		revokePermitsIfNeeded,
		mayUsePermits(renewedAt) {
			revokePermitsIfNeeded();
			return renewedAt > suspendedAt;
		},
		mayDispatch(now) {
			revokePermitsIfNeeded();
			return isServingWithoutControl ? state.document !== undefined : lease.isValid(now);
		},
		isReady,
		logChange() {
			if (isReady() !== wasReady) {
				wasReady = !wasReady;
				log.info({ready: wasReady, version: lease.getVersion()}, wasReady ? 'ready' : 'not ready');
			}
		},
	};
}
