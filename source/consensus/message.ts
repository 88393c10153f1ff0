/**
 * Messages, log and actions of the replicated log, after Raft (Ongaro and
 * Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014, and
 * Ongaro's dissertation for pre-vote, leadership transfer and single-server
 * membership changes).
 */

/** Members of the replicated log by replica id. */
export type Membership = {
	readonly voters: readonly string[];
	/** Replicas that receive the log and have no vote. */
	readonly learners: readonly string[];
};

/** What a log entry carries. */
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

/** State that must be durable before a vote or an answer leaves the replica. */
export type HardState = {
	readonly term: number;
	readonly votedFor: string | undefined;
};

/** State machine contents up to an index. */
export type Snapshot = {
	readonly index: number;
	readonly term: number;
	readonly membership: Membership;
	readonly data: unknown;
};

/** A message between replicas. */
export type ReplicaMessage
	= | {
		readonly kind: 'voteRequest';
		readonly term: number;
		readonly isPreVote: boolean;
		/** Whether the current leader asked for this election. */
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
		/** Number of the leader's confirmation round. */
		readonly round: number;
	}
	| {
		readonly kind: 'appended';
		readonly term: number;
		readonly isSuccess: boolean;
		/** On success the last matching index, otherwise a hint for the next attempt. */
		readonly index: number;
		readonly round: number;
	}
	| {readonly kind: 'install'; readonly term: number; readonly snapshot: Snapshot; readonly round: number}
	| {readonly kind: 'timeoutNow'; readonly term: number};

/** What the driver must do, in order. */
export type Action
	= | {readonly kind: 'persistState'; readonly state: HardState}
		| {readonly kind: 'persistEntries'; readonly entries: readonly LogEntry[]; readonly truncateFrom: number}
		| {readonly kind: 'persistSnapshot'; readonly snapshot: Snapshot}
	/** Sends at once, or only after everything persisted before it is synced. */
		| {readonly kind: 'send'; readonly to: string; readonly message: ReplicaMessage; readonly isAfterSync: boolean}
		| {readonly kind: 'restore'; readonly snapshot: Snapshot}
		| {readonly kind: 'commit'; readonly entry: LogEntry}
		| {readonly kind: 'confirmed'; readonly token: number; readonly index: number}
		| {readonly kind: 'unconfirmed'; readonly token: number}
		| {readonly kind: 'roleChanged'; readonly role: Role; readonly term: number; readonly leader: string | undefined};

/** Role of a replica. */
export type Role = 'follower' | 'preCandidate' | 'candidate' | 'leader';

/** Something that happens to a replica. */
export type ReplicaEvent
	= | {readonly kind: 'tick'}
		| {readonly kind: 'received'; readonly from: string; readonly message: ReplicaMessage}
	/** Everything handed out for persistence up to this point is synced. */
		| {readonly kind: 'persisted'; readonly lastIndex: number; readonly lastTerm: number}
		| {readonly kind: 'propose'; readonly payload: Payload}
	/** Asks for proof that this replica led at some time after this event. */
		| {readonly kind: 'confirm'; readonly token: number; readonly isUrgent: boolean}
		| {readonly kind: 'transfer'; readonly to: string}
	/** The state machine's contents up to an applied index, to replace the log's head. */
		| {readonly kind: 'compact'; readonly index: number; readonly data: unknown};
