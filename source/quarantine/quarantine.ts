/** Counts the servers that crashed while running requests with a fingerprint, and quarantines the fingerprint at a threshold. */

/** Number of crashed servers at which a fingerprint is quarantined. */
export const quarantineCrashThreshold = 2;

/** Time after the last crash for which a fingerprint is counted and, if quarantined, refused, in milliseconds. */
export const quarantineMilliseconds = 600_000;

const maximumFingerprints = 10_000;

type CrashRecord = {readonly servers: Set<number>; reportedAt: number};

/** Crashed servers by fingerprint. */
export type Quarantine = {
	/** Records a crash and returns the number of servers that have crashed so far. */
	reportCrash(fingerprint: string, server: number, now: number): number;
	isQuarantined(fingerprint: string, now: number): boolean;
	/** Removes the crashes of a fingerprint that has since succeeded, unless it is quarantined. */
	clear(fingerprint: string): void;
	getQuarantined(now: number): readonly string[];
};

/** Creates an empty quarantine. */
export function createQuarantine(): Quarantine {
	const recordsByFingerprint = new Map<string, CrashRecord>();

	function removeExpired(now: number): void {
		for (const [fingerprint, crashes] of recordsByFingerprint) {
			const isFresh = now - crashes.reportedAt < quarantineMilliseconds;
			if (isFresh && recordsByFingerprint.size <= maximumFingerprints) {
				break;
			}

			recordsByFingerprint.delete(fingerprint);
		}
	}

	function isQuarantined(fingerprint: string, now: number): boolean {
		const crashes = recordsByFingerprint.get(fingerprint);
		return crashes !== undefined && crashes.servers.size >= quarantineCrashThreshold && now - crashes.reportedAt < quarantineMilliseconds;
	}

	return {
		reportCrash(fingerprint, server, now) {
			removeExpired(now);
			const crashes = recordsByFingerprint.get(fingerprint) ?? {servers: new Set<number>(), reportedAt: now};
			crashes.servers.add(server);
			crashes.reportedAt = now;
			recordsByFingerprint.delete(fingerprint);
			recordsByFingerprint.set(fingerprint, crashes);
			return crashes.servers.size;
		},
		isQuarantined,
		clear(fingerprint) {
			if ((recordsByFingerprint.get(fingerprint)?.servers.size ?? 0) < quarantineCrashThreshold) {
				recordsByFingerprint.delete(fingerprint);
			}
		},
		getQuarantined: now => [...recordsByFingerprint.keys()].filter(fingerprint => isQuarantined(fingerprint, now)),
	};
}
