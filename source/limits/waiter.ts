/** A request that waits for an available server. */

/** Rank of a waiting request; the lowest starts first. */
export type WaiterRank = 0 | 1 | 2;

/** A waiting request. */
export type Waiter = {
	/** Deadline in milliseconds. */
	readonly deadlineAt: number;
	readonly rank: WaiterRank;
	/** Workspace of the caller; requests that belong to none count as those of one workspace. */
	readonly workspace: string | undefined;
	/** Tries to start the request; returns false if no server is available for it. */
	start(): boolean;
	/** Refuses the request because its deadline has passed, or because no server will be available for it. */
	expire(): void;
	/** Checks whether the request has already ended, for example because its caller disconnected. */
	isSettled(): boolean;
};
