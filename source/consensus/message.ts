/**
 * Messages, log entries, events and actions of the Raft implementation. It follows Ongaro and Ousterhout, "In Search of an
 * Understandable Consensus Algorithm" (2014); pre-vote, leadership transfer and single-server membership changes follow
 * Ongaro's dissertation.
 */

/** Replica ids of the voters and learners. */
export type Membership = {
	readonly voters: readonly string[];
	/** Replicas that receive the log but do not vote. */
	readonly learners: readonly string[];
};

/** Payload of a log entry. */
export type Payload
	= | {readonly kind: 'noOperation'}
		| {readonly kind: 'membership'; readonly membership: Membership}
		| {readonly kind: 'command'; readonly command: unknown};

/** One entry of the replicated log. */
export type LogEntry = {
	readonly index: number;
	readonly term: number;
	readonly payload: Payload;
};

/** Raft state that must be durable before the replica sends a vote or a response that depends on it. */
export type HardState = {
	readonly term: number;
	readonly votedFor: string | undefined;
};

/** Contents of the state machine after it has applied the log up to an index. */
export type Snapshot = {
	readonly index: number;
	readonly term: number;
	readonly membership: Membership;
	readonly data: unknown;
};

/** Message between replicas. */
export type ReplicaMessage
	= | {
		readonly kind: 'voteRequest';
		readonly term: number;
		readonly isPreVote: boolean;
		/** Whether the current leader requested this election to transfer its leadership. */
		readonly isTransfer: boolean;
		readonly lastIndex: number;
		readonly lastTerm: number;
	}
	| {readonly kind: 'vote'; readonly term: number; readonly isPreVote: boolean; readonly isGranted: boolean}
	| {
		readonly kind: 'append';
		readonly term: number;
		readonly previousIndex: number;
		readonly previousTerm: number;
		readonly entries: readonly LogEntry[];
		readonly commitIndex: number;
		/** Confirmation round in which the leader sent this message. */
		readonly round: number;
	}
	| {
		readonly kind: 'appended';
		readonly term: number;
		readonly isSuccess: boolean;
		/** Last matching index on success; otherwise an upper bound for the `previousIndex` of the next attempt. */
		readonly index: number;
		readonly round: number;
	}
	| {readonly kind: 'install'; readonly term: number; readonly snapshot: Snapshot; readonly round: number}
	| {readonly kind: 'timeoutNow'; readonly term: number};

/** Action that a replica returns. The driver must perform the actions in the order in which they are returned. */
export type Action
	= | {readonly kind: 'persistState'; readonly state: HardState}
		| {readonly kind: 'persistEntries'; readonly entries: readonly LogEntry[]; readonly truncateFrom: number}
		| {readonly kind: 'persistSnapshot'; readonly snapshot: Snapshot}
	/** Sends at once or, with `isAfterSync`, once all earlier persist actions are synced. */
		| {readonly kind: 'send'; readonly to: string; readonly message: ReplicaMessage; readonly isAfterSync: boolean}
		| {readonly kind: 'restore'; readonly snapshot: Snapshot}
		| {readonly kind: 'commit'; readonly entry: LogEntry}
	/** Confirms the leadership. A read is up to date once the state machine has applied the log up to the index. */
		| {readonly kind: 'confirmed'; readonly token: number; readonly index: number}
	/** Rejects a confirmation, because this replica is not the leader, transfers its leadership or has lost it. */
		| {readonly kind: 'unconfirmed'; readonly token: number}
		| {readonly kind: 'roleChanged'; readonly role: Role; readonly term: number; readonly leader: string | undefined};

/** Raft role of a replica. */
export type Role = 'follower' | 'preCandidate' | 'candidate' | 'leader';

/** Input event of a replica. */
export type ReplicaEvent
	= | {readonly kind: 'tick'}
		| {readonly kind: 'received'; readonly from: string; readonly message: ReplicaMessage}
	/** Reports that all persist actions up to this last log entry and version of the hard state, or else up to the newest, are synced. */
		| {readonly kind: 'persisted'; readonly lastIndex: number; readonly lastTerm: number; readonly stateVersion?: number}
		| {readonly kind: 'propose'; readonly payload: Payload}
	/**
	 * Requests confirmation that this replica was still the leader at some time after this event. An urgent request starts
	 * a round of append messages at once; other requests wait for the next heartbeat.
	 */
		| {readonly kind: 'confirm'; readonly token: number; readonly isUrgent: boolean}
		| {readonly kind: 'transfer'; readonly to: string}
	/** Reports that a link to another replica has opened. */
		| {readonly kind: 'connected'}
	/** Reports whether durable state can be written. */
		| {readonly kind: 'writability'; readonly isWritable: boolean}
	/** Replaces the log up to an applied index with a snapshot of the state machine. */
		| {readonly kind: 'compact'; readonly index: number; readonly data: unknown};
