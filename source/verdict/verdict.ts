/**
 * A verdict states whether a request may have run on a server. Callers rely on
 * `notRun` to resend non-idempotent requests, so it is only used when no byte of the request
 * was written to a socket, or when the server itself declared that it did not run it.
 */

/** Reason why a request is known not to have run. */
export type NotRunReason
	= | 'bad-request'
		| 'body-too-large'
		| 'crashes-servers'
		| 'deadline'
		| 'draining'
		| 'headers-too-large'
		| 'key-mismatch'
		| 'ledger-full'
		| 'ledger-unavailable'
		| 'lease-expired'
		| 'link-busy'
		| 'no-server'
		| 'overload'
		| 'quota'
		| 'quota-unavailable'
		| 'unknown-key'
		| 'unknown-service'
		| 'unreachable'
		| 'unsendable'
		| 'caller-left'
		| 'server-shed'
		| 'server-withdrawn';

/** Reason why a request may have run although no complete response was received. */
export type MayHaveRunReason
	= | 'already-ran'
		| 'answer-malformed'
		| 'answer-mismatched'
		| 'answer-truncated'
		| 'answer-unproven'
		| 'bad-request'
		| 'body-too-large'
		| 'connection-lost'
		| 'deadline'
		| 'in-progress'
		| 'internal-error'
		| 'caller-left';

/** Outcome of an attempt to run a request. */
export type Verdict
	= | {readonly kind: 'notRun'; readonly reason: NotRunReason}
		| {readonly kind: 'mayHaveRun'; readonly reason: MayHaveRunReason}
		| {readonly kind: 'ran'; readonly status: number};

/** Header with the verdict on responses made by an entry itself, and on the responses with which a server sheds a request. */
export const verdictHeader = 'guavadeck-verdict';

/** Header with the reason of a verdict. */
export const reasonHeader = 'guavadeck-reason';

/**
 * Creates a verdict for a request that did not run.
 * @param reason - Reason why it did not run.
 */
export function notRun(reason: NotRunReason): Verdict {
	return {kind: 'notRun', reason};
}

/**
 * Creates a verdict for a request that may have run.
 * @param reason - Reason why the outcome is unknown or the response is missing.
 */
export function mayHaveRun(reason: MayHaveRunReason): Verdict {
	return {kind: 'mayHaveRun', reason};
}

/**
 * Gets the value of the verdict header.
 * @param verdict - Verdict to express.
 */
export function getVerdictHeaderValue(verdict: Verdict): string {
	switch (verdict.kind) {
		case 'notRun': {
			return 'not-run';
		}

		case 'mayHaveRun': {
			return 'may-have-run';
		}

		case 'ran': {
			return 'ran';
		}
	}
}

/**
 * Gets the HTTP status of the response that an entry makes itself for a verdict.
 * @param verdict - Verdict to express.
 */
export function getVerdictStatus(verdict: Verdict): number {
	switch (verdict.kind) {
		case 'notRun': {
			return getNotRunStatus(verdict.reason);
		}

		case 'mayHaveRun': {
			return getMayHaveRunStatus(verdict.reason);
		}

		case 'ran': {
			return verdict.status;
		}
	}
}

function getNotRunStatus(reason: NotRunReason): number {
	switch (reason) {
		case 'bad-request': {
			return 400;
		}

		case 'unknown-key': {
			return 401;
		}

		case 'unknown-service': {
			return 404;
		}

		case 'body-too-large': {
			return 413;
		}

		case 'quota': {
			return 429;
		}

		case 'headers-too-large': {
			return 431;
		}

		case 'key-mismatch': {
			return 422;
		}

		case 'caller-left':
		case 'crashes-servers':
		case 'deadline':
		case 'draining':
		case 'ledger-full':
		case 'ledger-unavailable':
		case 'lease-expired':
		case 'link-busy':
		case 'no-server':
		case 'overload':
		case 'quota-unavailable':
		case 'server-shed':
		case 'server-withdrawn':
		case 'unreachable':
		case 'unsendable': {
			return 503;
		}
	}
}

function getMayHaveRunStatus(reason: MayHaveRunReason): number {
	switch (reason) {
		case 'already-ran':
		case 'in-progress': {
			return 409;
		}

		case 'deadline': {
			return 504;
		}

		case 'bad-request': {
			return 400;
		}

		case 'body-too-large': {
			return 413;
		}

		case 'answer-malformed':
		case 'answer-mismatched':
		case 'answer-truncated':
		case 'answer-unproven':
		case 'caller-left':
		case 'connection-lost':
		case 'internal-error': {
			return 502;
		}
	}
}
