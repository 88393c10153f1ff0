/**
 * A verdict states whether a request may have run on a server. Callers rely on
 * `notRun` to resend an order, so it is only used when no byte of the request was
 * handed to a socket, or when the server itself declared that it did not run it.
 */

/** Reasons for which a request is known not to have run. */
export type NotRunReason
	= | 'bad-request'
		| 'body-too-large'
		| 'crashes-servers'
		| 'deadline'
		| 'draining'
		| 'key-mismatch'
		| 'ledger-full'
		| 'ledger-unavailable'
		| 'lease-expired'
		| 'no-server'
		| 'overload'
		| 'unknown-service'
		| 'unreachable'
		| 'caller-left'
		| 'server-shed';

/** Reasons for which a request may have run without a whole answer. */
export type MayHaveRunReason
	= | 'already-ran'
		| 'answer-mismatched'
		| 'answer-truncated'
		| 'connection-lost'
		| 'deadline'
		| 'in-progress'
		| 'caller-left';

/** Outcome of an attempt to run a request. */
export type Verdict
	= | {readonly kind: 'notRun'; readonly reason: NotRunReason}
		| {readonly kind: 'mayHaveRun'; readonly reason: MayHaveRunReason}
		| {readonly kind: 'ran'; readonly status: number};

/** Header that carries the verdict on every answer made by an entry, and on a server's shed answer. */
export const verdictHeader = 'guavadeck-verdict';

/** Header that carries the reason of a verdict. */
export const reasonHeader = 'guavadeck-reason';

/**
 * Creates a verdict for a request that did not run.
 * @param reason - Why it did not run.
 */
export function notRun(reason: NotRunReason): Verdict {
	return {kind: 'notRun', reason};
}

/**
 * Creates a verdict for a request that may have run.
 * @param reason - Why its fate is unknown or its answer is missing.
 */
export function mayHaveRun(reason: MayHaveRunReason): Verdict {
	return {kind: 'mayHaveRun', reason};
}

/**
 * Gets the value of the verdict header.
 * @param verdict - Verdict to express.
 */
export function getHeaderValue(verdict: Verdict): string {
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
 * Gets the HTTP status with which an entry answers a verdict of its own.
 * @param verdict - Verdict to express.
 */
export function getStatus(verdict: Verdict): number {
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

		case 'unknown-service': {
			return 404;
		}

		case 'body-too-large': {
			return 413;
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
		case 'no-server':
		case 'overload':
		case 'server-shed':
		case 'unreachable': {
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

		case 'answer-mismatched':
		case 'answer-truncated':
		case 'caller-left':
		case 'connection-lost': {
			return 502;
		}
	}
}
