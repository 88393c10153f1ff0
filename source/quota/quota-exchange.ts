/** What holders and the account of a workspace exchange. */
import {type HolderReport, type QuotaTotals} from './holder-report.js';

/** What a holder reports or asks for. */
export type QuotaExchange = {
	/** Process of the entry. */
	readonly holder: string;
	/** Report; undefined if nothing has changed since the last one. */
	readonly report: HolderReport | undefined;
	/** Requests that wait for a token, if the holder asks for them. */
	readonly waiting?: number;
	/** Requests that the holder has refused since it last asked. */
	readonly refused?: number;
	/** Whether nothing is lent for use to come, because the holder returns its lease, the workspace has no quota any more, or the leadership is not confirmed. */
	readonly isEnding?: boolean;
	readonly now: number;
	/** Time until which the leadership is known to have lasted. */
	readonly confirmedAt: number;
};

/** What a holder has been lent. */
export type QuotaLoan = {
	/** Tokens that were ever lent to the holder. */
	readonly granted: number;
	/** What the account counts over all holders, with what it may lend at once. */
	readonly totals: QuotaTotals;
	/** Time after which a token is likely to be available, if the quota is used up and the holder wants more; 0 otherwise. */
	readonly retryMilliseconds: number;
};
