/** What a process of an entry reports to the leader about its tokens of one workspace. */

/** Report of a holder. All numbers count from the start of the process, so that a report that is lost, late or doubled changes nothing. */
export type HolderReport = {
	/** Tokens that were ever lent to the process. */
	readonly granted: number;
	/** Tokens that it used or gave back. */
	readonly spent: number;
	/** Tokens that it gave back unused, which are part of `spent`. */
	readonly unused: number;
	/** What `granted` has to become for the process to hold the tokens that it wants. */
	readonly goal: number;
	/** Tokens that the leader before the present one at least counted as held by the process, when the process went over to the present one. */
	readonly earlier?: number;
};
