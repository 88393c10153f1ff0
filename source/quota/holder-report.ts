/** What a process of an entry reports to the leader about its tokens of one workspace. */

/** What a leader counts over all holders of a workspace, with what it may lend at once. */
export type QuotaTotals = {
	/** Tokens that are held or were spent in the last window. */
	readonly total: number;
	/** Tokens that are held. */
	readonly held: number;
};

/** What a process had from earlier leaders when it learned of the present one. */
export type EarlierTokens = {
	/** Minimum number of tokens that the last of them counted as held by the process. */
	readonly held: number;
	/** What one of them last told of all holders, the maximum age of that in milliseconds, and the requests per second that were allowed then. */
	readonly told?: QuotaTotals & {readonly age: number; readonly requestsPerSecond: number};
	/** Tokens spent in each of the last steps of `spendingStepMilliseconds`, the newest step first. */
	readonly recent: readonly number[];
};

/** Length of the steps in which a process states what it has spent. */
export const spendingStepMilliseconds = 500;

/** Report of a holder. All numbers count from the start of the process, so that a report that is lost, late or duplicated changes nothing. */
export type HolderReport = {
	/** Tokens that were ever lent to the process. */
	readonly granted: number;
	/** Tokens that it used or gave back. */
	readonly spent: number;
	/** Tokens that it gave back unused, which are part of `spent`. */
	readonly unused: number;
	/** What `granted` has to become for the process to hold the tokens that it wants. */
	readonly goal: number;
	/** What the process has from earlier leaders; missing once the present one knows it. */
	readonly earlier?: EarlierTokens;
};
