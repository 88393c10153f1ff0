/**
 * Messages of the entry lease. Besides the right to dispatch, renewals and grants carry the newest document, the servers, the
 * permits for cold servers, the part of the slack of extra attempts, the tokens of quotas and the probe duties.
 */
import {type Announcement, type ServerState} from '../announcement/index.js';
import {type DocumentUpdate, type Environment} from '../configuration/index.js';

/** Observations of an entry about one cold or suspect server since its last renewal. */
export type Observation = {
	readonly server: number;
	readonly inFlight: number;
	readonly successes: number;
	readonly sheds: number;
	/** Number of earlier renewals that reported sheds and that no grant has answered, for a new leader; missing if there are none, and from entries of earlier releases. */
	readonly unansweredShedReports?: number;
	/** Whether the entry observed that a warm server behaves like a cold one. */
	readonly isCold: boolean;
};

/** Crash of a server while it ran a request with a fingerprint. */
export type CrashReport = {readonly fingerprint: string; readonly server: number};

/** Name and address of an entry, for connections from its peers. */
export type PeerAddress = {readonly name: string; readonly host: string; readonly port: number};

/** What earlier leaders told an entry, which a new leader cannot know. */
export type EarlierState = {
	/** Servers that were absent. */
	readonly absent: readonly number[];
	/** Fingerprints of requests that were quarantined. */
	readonly quarantined: readonly string[];
	/** Number of entries of the environment. */
	readonly entries: number;
};

/** What an entry reports about its part of the slack of extra attempts that all entries share. Each service has the whole slack, and an entry may use its part for each. */
export type SlackReport = {
	/** Slack of all entries together. */
	readonly total: number;
	/** Part that the entry holds under a valid lease. */
	readonly part: number;
	/** Most that was in use at any time of the window that counts, for the service that used the most. */
	readonly used: number;
	/** Part that the entry would have used in the window. */
	readonly wanted: number;
};

/** Part of the slack that an entry has until its lease ends. */
export type SlackGrant = {
	readonly part: number;
	/** Whether the entry keeps what it holds from an earlier leader, at most this part. */
	readonly isKept?: true;
};

/** What an entry's process has from earlier leaders of its tokens of a workspace; see `EarlierTokens` in `quota/`. */
export type EarlierQuotaReport = {
	readonly held: number;
	readonly recent: readonly number[];
	readonly told?: {readonly total: number; readonly held: number; readonly age: number; readonly requestsPerSecond: number};
};

/**
 * Report of an entry's process on its tokens of one workspace with a quota; see `HolderReport` in `quota/`. A list rather than named fields,
 * because every entry sends several of them with each renewal.
 */
export type QuotaReport = readonly [workspace: string, granted: number, spent: number, unused: number, goal: number, earlier?: EarlierQuotaReport];

/**
 * Tokens of one workspace that were ever lent to an entry's process, what the leader counts over all (see `QuotaTotals`), and the time in milliseconds
 * after which a token is likely to be available if the quota is used up.
 */
export type QuotaGrant = readonly [workspace: string, granted: number, total: number, held: number, retryMilliseconds?: number];

/** Request for a lease or its renewal. */
export type Renewal = {
	readonly kind: 'renewal';
	readonly entry: string;
	/** Random id of the entry's process, which counts its renewals from 1; missing from entries of earlier releases. */
	readonly process?: string;
	readonly environment: Environment;
	readonly sequence: number;
	/** Sequence number of the newest grant that the entry applied. */
	readonly acknowledged: number;
	/** Version of the document in force at the entry, or -1 if it lacks a document. */
	readonly version: number;
	readonly epoch: number;
	readonly revision: number;
	/** Index of the replicated log up to which the entry knows the servers; 0 or missing before the first list. */
	readonly logIndex?: number;
	/** Revision of the list of peers at the entry, or 0 before the first. */
	readonly peersRevision: number;
	readonly observations: readonly Observation[];
	/** Permits that the entry holds under a valid lease; missing from entries of earlier releases, which keep none when the leader changes. */
	readonly held?: readonly Permit[];
	readonly failedProbes: readonly number[];
	/** Part of the slack of extra attempts; missing if entries share none, and from earlier releases, whose entries take equal parts. */
	readonly slack?: SlackReport;
	/** Changes of the tokens since the last acknowledged renewal; missing if the document has no quotas, and from earlier releases, whose entries get no tokens. */
	readonly quota?: readonly QuotaReport[];
	/** Servers that repeated an unchanged announcement to the entry since its last renewal. */
	readonly heard: readonly number[];
	/** Crashes that the entry has reported lately, in its first renewal at a new leader, which does not know them. */
	readonly crashes: readonly CrashReport[];
	/** What the entry keeps from earlier leaders, until the new one knows it; missing from entries of earlier releases, which keep nothing. */
	readonly earlier?: EarlierState;
	readonly peer: PeerAddress | undefined;
	/** Whether the entry is stopping and returns its lease, permits and duties. */
	readonly isFinal: boolean;
};

/** Server as reported to entries. */
export type ServerView = {
	readonly id: number;
	readonly announcement: Announcement;
	readonly state: ServerState;
	/** Whether the server has stopped announcing itself or fails its probes. */
	readonly isAbsent: boolean;
	readonly isRemoved: boolean;
};

/** Capacity of a cold server by which a permit was granted, and how much of it was in use. */
export type GrantedCapacity = {
	/** Consensus term of the leader that granted the permit. */
	readonly epoch: number;
	/** Number of grants of the leader for the server by then. */
	readonly grant: number;
	/** Slots that the server could handle. */
	readonly slots: number;
	/** Slots that all entries together might use after the grant; more than the server could handle if that was reduced shortly before. */
	readonly held: number;
};

/** Number of slots of one cold server that an entry may use, or its requests per second if the rate is limited. */
export type Permit = {
	readonly server: number;
	readonly slots: number;
	readonly requestsPerSecond?: number;
	/** Capacity by which the slots were granted; missing from control hosts of earlier releases. */
	readonly capacity?: GrantedCapacity;
	/** Whether the entry keeps what it holds from an earlier leader, at most these slots. Granted only to entries that report what they hold. */
	readonly isKept?: true;
};

/** Granted lease. The leadership was confirmed after the receipt of the renewal. */
export type Grant = {
	readonly kind: 'grant';
	readonly sequence: number;
	readonly termMilliseconds: number;
	/** Consensus term of the leader. Revisions of the servers are comparable only within an epoch, log indexes also across epochs. */
	readonly epoch: number;
	readonly revision: number;
	/** Whether `servers` is the full list rather than the changes since the revision of the renewal. */
	readonly isWhole: boolean;
	readonly servers: readonly ServerView[];
	/** Index of the replicated log that the servers reflect, comparable across leaders; missing from older control hosts. */
	readonly logIndex?: number;
	/**
	 * Ids of all servers, if the renewal names another epoch: servers that are not listed were removed, and those without a view
	 * in `servers` are unchanged and present.
	 */
	readonly listed?: readonly number[];
	readonly version: number;
	/** Update from the version of the renewal to `version`, or undefined if they are equal. */
	readonly document: DocumentUpdate | undefined;
	readonly permits: readonly Permit[];
	/** Part of the slack of extra attempts; missing if the entry did not report one, and from control hosts of earlier releases. */
	readonly slack?: SlackGrant;
	/** Tokens that the entry may not know of; missing if the entry reports none, and from control hosts of earlier releases. */
	readonly quota?: readonly QuotaGrant[];
	/** All workspaces that use more of their quota than others, if the entry may not know them. */
	readonly aboveShare?: readonly string[];
	readonly duties: readonly number[];
	readonly probeMilliseconds: number;
	readonly quarantined: readonly string[];
	/** Zones that operators took out of service. They override the document. */
	readonly zonesOut: readonly string[];
	/** Index of the last command for a zone in the replicated log, comparable across leaders; missing from control hosts of earlier releases. */
	readonly zonesRevision?: number;
	/** Number of entries of the environment with a lease, including this one. */
	readonly entries: number;
	/** Whether the leader does not know yet what earlier ones told the entry. The entry keeps it, and states it in its next renewal. */
	readonly keepsEarlier?: true;
	/** Revision of the list of peers, comparable only within an epoch; 0 while the entry keeps that of an earlier leader. */
	readonly peersRevision: number;
	/** Other entries, or undefined if they have not changed since the revision of the renewal, or are not known yet. */
	readonly peers: readonly PeerAddress[] | undefined;
};

/** Response of a control host that cannot grant a lease. */
export type Refusal = {
	readonly kind: 'refusal';
	readonly sequence: number;
	/** Name of the control host that is the leader, if known. */
	readonly leader: string | undefined;
};

/** Message with newly quarantined fingerprints, which entries receive immediately rather than with their next grant. */
export type QuarantineNotice = {readonly kind: 'quarantined'; readonly fingerprints: readonly string[]};

/** Message that requests entries to renew immediately, because the state that grants carry has changed. */
export type Nudge = {readonly kind: 'nudge'};
