/**
 * Ledger of non-idempotent requests: a deterministic state machine that is replicated by the log. An attempt must claim the
 * idempotency key of a request before the first byte is sent to a server. A released attempt cannot claim the key again if a
 * duplicate of its claim arrives late, as long as its release is stored.
 */

/** Stored response to a finished request. */
export type StoredResponse = {
	readonly status: number;
	/** Header names and values, alternating. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
};

/** Command to the ledger. */
export type LedgerCommand
	= | {
		readonly kind: 'claim';
		readonly shard: number;
		readonly key: string;
		readonly attempt: string;
		/** Digest of method, path and body, in hexadecimal. */
		readonly digest: string;
		/** Wall-clock time in milliseconds, set by the leader. */
		readonly at: number;
	}
	| {
		readonly kind: 'finish';
		readonly shard: number;
		readonly key: string;
		readonly attempt: string;
		/** Response to replay, or undefined if it is too large to store. */
		readonly answer: StoredResponse | undefined;
		readonly at: number;
	}
	| {readonly kind: 'release'; readonly shard: number; readonly key: string; readonly attempt: string; readonly at: number};

/** Result of a ledger command. */
export type LedgerResult
	= | {readonly kind: 'granted'}
		| {readonly kind: 'replay'; readonly answer: StoredResponse}
	/** The request has run, but its response was not stored for lack of space. */
		| {readonly kind: 'alreadyRan'}
	/** Another attempt holds the claim. */
		| {readonly kind: 'inProgress'}
	/** The key was claimed by a request with another digest. */
		| {readonly kind: 'mismatch'}
	/** The ledger holds the maximum number of claims. */
		| {readonly kind: 'full'}
	/** The attempt was released before its claim arrived. */
		| {readonly kind: 'released'}
		| {readonly kind: 'done'};

/** Limits of a ledger. */
export type LedgerLimits = {
	readonly retentionMilliseconds: number;
	/** Maximum number of claims. The same limit applies to the released attempts. */
	readonly maximumClaims: number;
	/** Maximum size of a stored response body in bytes; a larger one is not stored, so that its key only states that the request ran. */
	readonly maximumAnswerBytes: number;
	/** Maximum total size of the stored response bodies in bytes. */
	readonly maximumStoredBytes: number;
};

type Claim = {
	readonly key: string;
	readonly attempt: string;
	readonly digest: string;
	readonly at: number;
	readonly state: 'claimed' | 'finished';
	readonly answer: StoredResponse | undefined;
};

type Release = {readonly attempt: string; readonly at: number};

/** Serializable snapshot of a ledger. */
export type LedgerSnapshot = {readonly claims: readonly Claim[]; readonly releases: readonly Release[]};

/** Ledger of claims. */
export type Ledger = {
	/** Applies a committed command. */
	apply(command: LedgerCommand): LedgerResult;
	getClaimCount(): number;
	/** Gets the number of released attempts that are stored. */
	getReleaseCount(): number;
	getStoredBytes(): number;
	takeSnapshot(): LedgerSnapshot;
	restore(snapshot: LedgerSnapshot): void;
};

/**
 * Creates an empty ledger.
 * @param limits - Retention and size limits, which must be equal on all replicas.
 */
export function createLedger(limits: LedgerLimits): Ledger {
	let claims = new Map<string, Claim>();
	let releases = new Map<string, number>();
	let storedBytes = 0;

	function removeClaim(claim: Claim): void {
		claims.delete(claim.key);
		storedBytes -= claim.answer?.body.length ?? 0;
	}

	/** Removes expired claims and releases. Stops at the first that has not expired, since both maps are in order of insertion. */
	function removeExpired(now: number): void {
		for (const claim of claims.values()) {
			if (claim.at + limits.retentionMilliseconds > now) {
				break;
			}

			removeClaim(claim);
		}

		for (const [attempt, at] of releases) {
			if (at + limits.retentionMilliseconds > now) {
				break;
			}

			releases.delete(attempt);
		}
	}

	function claim(command: LedgerCommand & {readonly kind: 'claim'}): LedgerResult {
		if (releases.has(command.attempt)) {
			return {kind: 'released'};
		}

		const existing = claims.get(command.key);
		if (existing !== undefined) {
			return getExistingClaimResult(existing, command);
		}

		if (claims.size >= limits.maximumClaims) {
			return {kind: 'full'};
		}

		const {key, attempt, digest, at} = command;
		claims.set(key, {
			key, attempt, digest, at, state: 'claimed', answer: undefined,
		});
		return {kind: 'granted'};
	}

	function finish(command: LedgerCommand & {readonly kind: 'finish'}): LedgerResult {
		const existing = claims.get(command.key);
		if (existing?.attempt !== command.attempt || existing.state === 'finished') {
			return {kind: 'done'};
		}

		const bytes = command.answer?.body.length ?? 0;
		const isStored = bytes <= limits.maximumAnswerBytes && storedBytes + bytes <= limits.maximumStoredBytes;
		storedBytes += isStored ? bytes : 0;
		claims.set(command.key, {...existing, state: 'finished', answer: isStored ? command.answer : undefined});
		return {kind: 'done'};
	}

	/**
	 * Records a released attempt and evicts the oldest one if the limit is exceeded. A claim of an evicted attempt that arrives
	 * late can only block its key until it expires; the request does not run, because a released attempt is not dispatched.
	 */
	function recordRelease(attempt: string, at: number): void {
		releases.delete(attempt);
		releases.set(attempt, at);
		if (releases.size > limits.maximumClaims) {
			const [oldest] = releases.keys();
			releases.delete(oldest!);
		}
	}

	function release(command: LedgerCommand & {readonly kind: 'release'}): LedgerResult {
		const existing = claims.get(command.key);
		if (existing?.attempt === command.attempt && existing.state === 'claimed') {
			removeClaim(existing);
		}

		recordRelease(command.attempt, command.at);
		return {kind: 'done'};
	}

	return {
		apply(command) {
			removeExpired(command.at);
			switch (command.kind) {
				case 'claim': {
					return claim(command);
				}

				case 'finish': {
					return finish(command);
				}

				case 'release': {
					return release(command);
				}
			}
		},
		getClaimCount: () => claims.size,
		getReleaseCount: () => releases.size,
		getStoredBytes: () => storedBytes,
		takeSnapshot: () => ({
			claims: [...claims.values()],
			releases: [...releases].map(([attempt, at]) => ({attempt, at})),
		}),
		restore(snapshot) {
			claims = new Map(snapshot.claims.map(claim => [claim.key, claim]));
			releases = new Map(snapshot.releases.map(({attempt, at}) => [attempt, at]));
			storedBytes = 0;
			for (const claim of claims.values()) {
				storedBytes += claim.answer?.body.length ?? 0;
			}
		},
	};
}

function getExistingClaimResult(existing: Claim, command: LedgerCommand & {readonly kind: 'claim'}): LedgerResult {
	if (existing.digest !== command.digest) {
		return {kind: 'mismatch'};
	}

	if (existing.state === 'claimed') {
		return existing.attempt === command.attempt ? {kind: 'granted'} : {kind: 'inProgress'};
	}

	return existing.answer === undefined ? {kind: 'alreadyRan'} : {kind: 'replay', answer: existing.answer};
}
