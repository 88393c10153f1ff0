/** Counts the servers that crashed while running requests with a fingerprint, and quarantines the fingerprint at a threshold. */

/** Number of crashed servers at which a fingerprint is quarantined. */
export const quarantineCrashThreshold = 2;

/** Time after the last crash for which a fingerprint is counted and, if quarantined, refused, in milliseconds. */
export const quarantineMilliseconds = 600_000;

const maximumFingerprints = 10_000;

/** Maximum number of crashes that are stated at once. */
export const maximumReports = 1000;

type CrashRecord = {
	readonly servers: Set<number>;
	reportedAt: number;
	/** Whether an earlier leader quarantined the fingerprint, after crashes that are not known here. */
	readonly isInherited: boolean;
};

/** Crashed servers by fingerprint. */
export type Quarantine = {
	/** Records a crash and returns the number of servers that have crashed so far. */
	reportCrash(fingerprint: string, server: number, now: number): number;
	/** Records that an earlier leader quarantined a fingerprint, unless it is quarantined here. */
	inherit(fingerprint: string, now: number): void;
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
		return crashes !== undefined && getCount(crashes) >= quarantineCrashThreshold && now - crashes.reportedAt < quarantineMilliseconds;
	}

	/** Makes a record the newest one. */
	function store(fingerprint: string, crashes: CrashRecord): void {
		recordsByFingerprint.delete(fingerprint);
		recordsByFingerprint.set(fingerprint, crashes);
	}

	return {
		reportCrash(fingerprint, server, now) {
			removeExpired(now);
			const crashes = recordsByFingerprint.get(fingerprint) ?? {servers: new Set<number>(), reportedAt: now, isInherited: false};
			crashes.servers.add(server);
			crashes.reportedAt = now;
			store(fingerprint, crashes);
			return getCount(crashes);
		},
		inherit(fingerprint, now) {
			removeExpired(now);
			if (!isQuarantined(fingerprint, now)) {
				store(fingerprint, {servers: recordsByFingerprint.get(fingerprint)?.servers ?? new Set(), reportedAt: now, isInherited: true});
			}
		},
		isQuarantined,
		clear(fingerprint) {
			const crashes = recordsByFingerprint.get(fingerprint);
			const isBelowThreshold = crashes !== undefined && getCount(crashes) < quarantineCrashThreshold;
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

/** Gets the number of servers that a fingerprint counts as having crashed. */
function getCount({servers, isInherited}: CrashRecord): number {
	return isInherited ? Math.max(servers.size, quarantineCrashThreshold) : servers.size;
}
