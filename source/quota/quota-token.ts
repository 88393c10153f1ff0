/** Tokens as requests and leaders see them. */
import {type QuotaTotals} from './holder-report.js';

/** Token of a request. */
export type QuotaToken = {
	/** Checks whether the request may be sent to a server now. Once it may have been sent, repetitions may be as well. */
	tryUse(now: number): boolean;
	/** Checks whether `tryUse` would succeed. */
	isValid(now: number): boolean;
	/** Ends the use of the token by its request. Only the first call counts. */
	end(mayHaveRun: boolean, now: number): void;
};

/** What a leader states about the tokens of a holder. */
export type HolderGrant = {
	/** Consensus term of the leader. */
	readonly epoch: number;
	readonly granted: number;
	/** What the leader counts over all holders. */
	readonly totals: QuotaTotals;
	/** Time at which the renewal or the question was sent. */
	readonly askedAt: number;
	/** Time after which a token is likely to be available; 0 if that is not known or there is one. */
	readonly retryMilliseconds: number;
};

/** Report that was sent, and the term of the leader that the holder knew then. */
export type SentReport = {readonly key: string; readonly epoch: number};
