/** Claims the idempotency keys of non-idempotent requests in the ledger, and records the outcome of each claim. */
import {createHash, randomUUID} from 'node:crypto';
import {type ControlClient} from '../../control-client/index.js';
import {type ControlResponse} from '../../control/message.js';
import {type StoredResponse} from '../../ledger/index.js';
import {mayHaveRun, notRun, type Verdict} from '../../verdict/index.js';

const settleAttemptTimeoutMilliseconds = 5000;
const settleTimeoutMilliseconds = 120_000;

/** A claim that was granted. */
export type Claim = {
	/** Records that the request ran, with the response to replay if it is small enough to store. */
	finish(response: StoredResponse | undefined): void;
	/** Releases the key, because the request is known not to have run. Resolves when the release is recorded. */
	release(): Promise<void>;
};

/** Outcome of a claim. */
export type ClaimOutcome
	= | {readonly kind: 'granted'; readonly claim: Claim}
		| {readonly kind: 'replay'; readonly response: StoredResponse}
		| {readonly kind: 'refused'; readonly verdict: Verdict};

/** Claims idempotency keys in the ledger. */
export type Claims = {
	claim(options: ClaimOptions): Promise<ClaimOutcome>;
	/** Gets the number of claims whose outcome is not yet recorded. */
	getUnsettledCount(): number;
};

/** Options of a claim. */
export type ClaimOptions = {
	readonly service: string;
	/** Workspace of the caller, if the request belongs to one. Workspaces may use the same keys for different requests. */
	readonly workspace?: string | undefined;
	readonly key: string;
	/** Digest of the request, from `getRequestDigest`. */
	readonly digest: string;
	/** Time that the request has left, in milliseconds. */
	readonly remainingMilliseconds: number;
};

/**
 * Gets the digest by which the ledger detects that a key is reused for a different request.
 * @param method - Method of the request.
 * @param target - Target of the request.
 * @param body - Complete body of the request.
 */
export function getRequestDigest(method: string, target: string, body: Uint8Array): string {
	return createHash('sha256').update(`${method} ${target}\n`).update(body).digest('hex');
}

/**
 * Creates the part of an entry that claims keys.
 * @param client - Links to the control hosts.
 * @param environment - Environment that the entry serves.
 */
export function createClaims(client: ControlClient, environment: string): Claims {
	let unsettledCount = 0;

	async function settle(command: Parameters<ControlClient['submit']>[0]): Promise<void> {
		unsettledCount++;
		for (let remainingMilliseconds = settleTimeoutMilliseconds; remainingMilliseconds > 0; remainingMilliseconds -= settleAttemptTimeoutMilliseconds) {
			const response = await client.submit(command, settleAttemptTimeoutMilliseconds);
			if (response.kind === 'ledger') {
				break;
			}
		}

		unsettledCount--;
	}

	function createClaim(key: string, attempt: string): Claim {
		const common = {
			shard: 0, key, attempt, at: 0,
		} as const;
		return {
			finish(response) {
				void settle({kind: 'ledger', command: {kind: 'finish', ...common, answer: response}});
			},
			async release() {
				await settle({kind: 'ledger', command: {kind: 'release', ...common}});
			},
		};
	}

	function getOutcome(response: ControlResponse, claim: Claim): ClaimOutcome {
		if (response.kind !== 'ledger') {
			// Nothing was dispatched, so the verdict `notRun` holds even if the claim is granted later.
			void claim.release();
			return {kind: 'refused', verdict: notRun('ledger-unavailable')};
		}

		switch (response.answer.kind) {
			case 'granted': {
				return {kind: 'granted', claim};
			}

			case 'replay': {
				return {kind: 'replay', response: response.answer.answer};
			}

			case 'alreadyRan': {
				return {kind: 'refused', verdict: mayHaveRun('already-ran')};
			}

			case 'inProgress': {
				return {kind: 'refused', verdict: mayHaveRun('in-progress')};
			}

			case 'mismatch': {
				return {kind: 'refused', verdict: notRun('key-mismatch')};
			}

			case 'full': {
				return {kind: 'refused', verdict: notRun('ledger-full')};
			}

			case 'released':
			case 'done': {
				return {kind: 'refused', verdict: notRun('ledger-unavailable')};
			}
		}
	}

	return {
		async claim(options) {
			const scope = options.workspace === undefined ? options.service : `${options.service}/${options.workspace}`;
			const key = `${environment}/${scope}/${options.key}`;
			const attempt = randomUUID();
			const response = await client.submit({
				kind: 'ledger',
				command: {
					kind: 'claim', shard: 0, key, attempt, digest: options.digest, at: 0,
				},
			}, options.remainingMilliseconds);
			return getOutcome(response, createClaim(key, attempt));
		},
		getUnsettledCount: () => unsettledCount,
	};
}
