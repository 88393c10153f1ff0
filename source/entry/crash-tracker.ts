/**
 * Requests that are suspected to crash servers. A crash is reported to the leader
 * before the caller hears of it; a later success of the same request clears it.
 */
import {createHash} from 'node:crypto';
import {type ControlClient} from '../control-client/index.js';
import {quarantineCrashThreshold} from '../quarantine/index.js';

const reportMilliseconds = 400;

/** Suspected requests. */
export type CrashTracker = {
	/** Replaces the fingerprints that the leader quarantines. */
	setQuarantined(fingerprints: readonly string[]): void;
	/** Checks whether a request is refused. */
	isQuarantined(getFingerprint: () => string): boolean;
	/** Reports a crash and resolves to whether the request is refused from now on. */
	reportCrash(fingerprint: string, server: number): Promise<boolean>;
	/** Notes that a request succeeded. */
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
 * Creates an empty set of suspects.
 * @param client - Links to the control hosts.
 */
export function createCrashTracker(client: ControlClient): CrashTracker {
	let quarantined: ReadonlySet<string> = new Set();
	const crashes = new Map<string, Set<number>>();

	function recordCrash(fingerprint: string, server: number): number {
		const servers = crashes.get(fingerprint) ?? new Set<number>();
		servers.add(server);
		crashes.set(fingerprint, servers);
		return servers.size;
	}

	return {
		setQuarantined(fingerprints) {
			quarantined = new Set(fingerprints);
		},
		isQuarantined(getOwnFingerprint) {
			if (quarantined.size === 0 && crashes.size === 0) {
				return false;
			}

			const fingerprint = getOwnFingerprint();
			return quarantined.has(fingerprint) || (crashes.get(fingerprint)?.size ?? 0) >= quarantineCrashThreshold;
		},
		async reportCrash(fingerprint, server) {
			const own = recordCrash(fingerprint, server);
			const answer = await client.submit({kind: 'crash', fingerprint, server}, reportMilliseconds);
			const all = answer.kind === 'crashes' ? answer.count : own;
			return Math.max(own, all) >= quarantineCrashThreshold;
		},
		recordSuccess(getOwnFingerprint) {
			if (crashes.size === 0) {
				return;
			}

			const fingerprint = getOwnFingerprint();
			if (crashes.delete(fingerprint)) {
				void client.submit({kind: 'clearCrashes', fingerprint}, reportMilliseconds);
			}
		},
	};
}
