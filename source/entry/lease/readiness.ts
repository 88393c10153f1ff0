/** Tells whether an entry may send requests and whether it is ready for callers, by its lease and its document. */
import {performance} from 'node:perf_hooks';
import {createSuspensionDetector, type LeaseHolder} from '../../lease/index.js';
import {type Log} from '../../telemetry/index.js';
import {type EntryState} from '../entry-state.js';
import {type Fleet} from '../fleet/index.js';

/** Readiness of an entry. */
export type Readiness = {
	/** Revokes the permits for cold servers when the lease has ended or the host was suspended. */
	revokePermitsIfNeeded(): void;
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
	readonly lease: LeaseHolder;
	readonly log: Log;
	/** Whether the entry goes on to send requests after its lease has ended. */
	readonly isServingWithoutControl: boolean;
};

/**
 * Creates the readiness of an entry.
 * @param options - State, servers and lease of the entry.
 */
export function createReadiness(options: ReadinessOptions): Readiness {
	const {state, fleet, lease, log, isServingWithoutControl} = options;
	const suspension = createSuspensionDetector();
	let wasReady = false;

	function revokePermitsIfNeeded(): void {
		if (suspension.hasBeenSuspended(Date.now(), performance.now()) || !lease.isValid(performance.now())) {
			fleet.revokePermits();
		}
	}

	function isReady(): boolean {
		return !state.isDraining && state.document !== undefined && (isServingWithoutControl || lease.isValid(performance.now()));
	}

	return {
		revokePermitsIfNeeded,
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
