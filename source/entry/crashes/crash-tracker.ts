/**
 * Tracks requests that may crash servers. A crash is reported to the leader before the caller
 * receives its verdict; a later success of the same request clears its crashes.
 */
import {createHash} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {type ControlClient} from '../../control-client/index.js';
import {type CrashReport} from '../../lease/index.js';
import {
	createQuarantine, quarantineCrashThreshold, quarantineMilliseconds, type Quarantine,
} from '../../quarantine/index.js';

const reportTimeoutMilliseconds = 400;

/** Crashes of servers by the fingerprint of the request that they were running. */
export type CrashTracker = {
	/** Replaces the fingerprints that the leader has quarantined. */
	setQuarantined(fingerprints: readonly string[]): void;
	/** Gets the fingerprints that the leader has quarantined, without those that it has named for longer than a quarantine lasts. */
	getQuarantined(): readonly string[];
	/** Checks whether a request must be refused. The fingerprint is only computed when needed. */
	isQuarantined(getFingerprint: () => string): boolean;
	/** Reports a crash and resolves to whether the request must be refused from now on. */
	reportCrash(fingerprint: string, server: number): Promise<boolean>;
	/** Gets the crashes that were reported lately, for a leader that does not know them. */
	getReports(): readonly CrashReport[];
	/** Clears the crashes of a request that has succeeded. */
	recordSuccess(getFingerprint: () => string): void;
};

/**
 * Gets the fingerprint of a request.
 * @param parts - Method, target, key and body, as far as they are known.
 */
export function getFingerprint(parts: {readonly method: string; readonly target: string; readonly key: string | undefined; readonly body: Uint8Array | undefined}): string {
	const hash = createHash('sha256').update(`${parts.method} ${parts.target}\n${parts.key ?? ''}\n`);
	return hash.update(parts.body ?? new Uint8Array()).digest('base64url').slice(0, 22);
}

/**
 * Creates a tracker without crashes.
 * @param client - Links to the control hosts.
 */
export function createCrashTracker(client: ControlClient): CrashTracker {
	/** Quarantined fingerprints with the time since which the leaders name them. */
	let quarantined: ReadonlyMap<string, number> = new Map();
	const ownCrashes: Quarantine = createQuarantine();

	return {
		setQuarantined(fingerprints) {
			const now = performance.now();
			quarantined = new Map(fingerprints.map(fingerprint => [fingerprint, quarantined.get(fingerprint) ?? now]));
		},
		getQuarantined() {
			const now = performance.now();
			return [...quarantined.keys()].filter(fingerprint => now - quarantined.get(fingerprint)! < quarantineMilliseconds);
		},
		isQuarantined(getOwnFingerprint) {
			if (quarantined.size === 0 && ownCrashes.isEmpty()) {
				return false;
			}

			const fingerprint = getOwnFingerprint();
			return quarantined.has(fingerprint) || ownCrashes.isQuarantined(fingerprint, performance.now());
		},
		async reportCrash(fingerprint, server) {
			const localCount = ownCrashes.reportCrash(fingerprint, server, performance.now());
			const answer = await client.submit({kind: 'crash', fingerprint, server}, reportTimeoutMilliseconds);
			const count = answer.kind === 'crashes' ? answer.count : localCount;
			return Math.max(localCount, count) >= quarantineCrashThreshold;
		},
		getReports: () => ownCrashes.getReports(performance.now()),
		recordSuccess(getOwnFingerprint) {
			if (ownCrashes.isEmpty()) {
				return;
			}

			const fingerprint = getOwnFingerprint();
			if (ownCrashes.clear(fingerprint)) {
				void client.submit({kind: 'clearCrashes', fingerprint}, reportTimeoutMilliseconds);
			}
		},
	};
}
