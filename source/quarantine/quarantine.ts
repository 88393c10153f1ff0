/** Counts the servers that crashed while running requests with a fingerprint, and quarantines the fingerprint at a threshold. */

/** Number of crashed servers at which a fingerprint is quarantined. */
export const quarantineCrashThreshold = 2;

/** Time after the last crash for which a fingerprint is counted and, if quarantined, refused, in milliseconds. */
export const quarantineMilliseconds = 600_000;

const maximumFingerprints = 10_000;

/** Maximum number of crashes that are stated at once. */
export const maximumReports = 1000;

type CrashRecord = {readonly servers: Set<number>; reportedAt: number};

/** Crashed servers by fingerprint. */
export type Quarantine = {
	/** Records a crash and returns the number of servers that have crashed so far. */
	reportCrash(fingerprint: string, server: number, now: number): number;
	isQuarantined(fingerprint: string, now: number): boolean;
	/** Removes the crashes of a fingerprint that has since succeeded, unless it is quarantined; returns whether there were any. */
	clear(fingerprint: string): boolean;
	getQuarantined(now: number): readonly string[];
	/** Gets the crashes that count, those of the last fingerprints first. */
	getReports(now: number): ReadonlyArray<{readonly fingerprint: string; readonly server: number}>;
	/** Checks whether no crash was recorded. */
	isEmpty(): boolean;
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
			const isBelowThreshold = (recordsByFingerprint.get(fingerprint)?.servers.size ?? 0) < quarantineCrashThreshold;
			return isBelowThreshold && recordsByFingerprint.delete(fingerprint);
		},
		getReports: now => [...recordsByFingerprint]
			.filter(([, {reportedAt}]) => now - reportedAt < quarantineMilliseconds)
			.toReversed()
			.flatMap(([fingerprint, {servers}]) => [...servers].map(server => ({fingerprint, server})))
			.slice(0, maximumReports),
		isEmpty: () => recordsByFingerprint.size === 0,
		getQuarantined: now => [...recordsByFingerprint.keys()].filter(fingerprint => isQuarantined(fingerprint, now)),
	};
}
